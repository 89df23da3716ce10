package org.bramleylatch.edge;

import io.vertx.core.Vertx;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.Zone;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.TimelineLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a process's events as JSON lines; events are encoded in the background of the loop, so
 * that no request waits for it.
 */
public final class Timeline {
    private static final Logger LOG = LoggerFactory.getLogger(Timeline.class);
    private static final long FLUSH_MILLIS = 100;

    private final String process;
    private final Incarnation incarnation;
    private final Zone zone;
    private final InstantSource clock;
    private final HybridClock order;
    private final Optional<BufferedWriter> file;
    private final List<TimelineLine> pending = new ArrayList<>();

    /**
     * Opens the file for appending.
     *
     * @param process the name of the binary
     * @param file where to write; nothing is written if absent
     */
    public Timeline(
            Vertx vertx,
            String process,
            Incarnation incarnation,
            Zone zone,
            InstantSource clock,
            HybridClock order,
            Optional<String> file) {
        this.process = process;
        this.incarnation = incarnation;
        this.zone = zone;
        this.clock = clock;
        this.order = order;
        this.file = file.map(Timeline::open);
        this.file.ifPresent(writer -> vertx.setPeriodic(FLUSH_MILLIS, id -> flush()));
    }

    /** Takes an event, to be written within a moment; may be called from any thread. */
    public synchronized void write(Event event) {
        if (file.isPresent()) {
            pending.add(
                    new TimelineLine(
                            order.next(), clock.millis(), process, incarnation, zone, event));
        }
    }

    /** Hands all lines to the operating system. */
    public synchronized void flush() {
        file.ifPresent(this::writePending);
        file.ifPresent(Timeline::flush);
    }

    private void writePending(BufferedWriter writer) {
        try {
            for (TimelineLine line : pending) {
                writer.write(Json.write(line));
                writer.newLine();
            }
        } catch (IOException full) {
            LOG.warn("time line cannot be written: {}", full.getMessage());
        }
        pending.clear();
    }

    private static void flush(BufferedWriter writer) {
        try {
            writer.flush();
        } catch (IOException full) {
            LOG.warn("time line cannot be flushed: {}", full.getMessage());
        }
    }

    private static BufferedWriter open(String name) {
        try {
            return Files.newBufferedWriter(
                    Path.of(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }
}

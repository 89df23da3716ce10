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
 * Writes the events of a process to a file of JSON lines. A periodic flush, every 100 ms, encodes
 * and writes them, so that no request waits for it.
 */
public final class Timeline {
    private static final Logger LOG = LoggerFactory.getLogger(Timeline.class);
    private static final long FLUSH_INTERVAL_MILLIS = 100;

    private final String process;
    private final Incarnation incarnation;
    private final Zone zone;
    private final InstantSource clock;
    private final HybridLogicalClock hybridClock;
    private final Optional<BufferedWriter> writer;
    private final List<TimelineLine> pendingLines = new ArrayList<>();

    /**
     * Opens the file, if any, for appending.
     *
     * @param process the name of the binary
     * @param file the name of the file; if empty, events are discarded
     */
    public Timeline(
            Vertx vertx,
            String process,
            Incarnation incarnation,
            Zone zone,
            InstantSource clock,
            HybridLogicalClock hybridClock,
            Optional<String> file) {
        this.process = process;
        this.incarnation = incarnation;
        this.zone = zone;
        this.clock = clock;
        this.hybridClock = hybridClock;
        this.writer = file.map(Timeline::open);
        this.writer.ifPresent(writer -> vertx.setPeriodic(FLUSH_INTERVAL_MILLIS, id -> flush()));
    }

    /** Queues an event for the next flush; may be called from any thread. */
    public synchronized void write(Event event) {
        if (writer.isPresent()) {
            pendingLines.add(
                    new TimelineLine(
                            hybridClock.next(), clock.millis(), process, incarnation, zone, event));
        }
    }

    /** Writes all queued events to the file. */
    public synchronized void flush() {
        writer.ifPresent(this::writePending);
        writer.ifPresent(Timeline::flush);
    }

    private void writePending(BufferedWriter writer) {
        try {
            for (TimelineLine line : pendingLines) {
                writer.write(Json.write(line));
                writer.newLine();
            }
        } catch (IOException writeFailure) {
            LOG.warn(
                    "writing the timeline file failed, queued events are lost: {}",
                    writeFailure.getMessage());
        }
        pendingLines.clear();
    }

    private static void flush(BufferedWriter writer) {
        try {
            writer.flush();
        } catch (IOException flushFailure) {
            LOG.warn("flushing the timeline file failed: {}", flushFailure.getMessage());
        }
    }

    private static BufferedWriter open(String name) {
        try {
            return Files.newBufferedWriter(
                    Path.of(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException openFailure) {
            throw new UncheckedIOException(openFailure);
        }
    }
}

package org.bramleylatch.gateway;

import java.time.InstantSource;
import org.bramleylatch.core.Event;
import org.bramleylatch.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes events to standard output, a line of JSON for each. Lines beyond the bound are counted and
 * the count is told in the next second; the appender drops lines rather than wait for a reader.
 */
final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("events");
    private static final long SECOND_MILLIS = 1_000;

    private final InstantSource clock;
    private final String vm;
    private final int maxLinesPerSecond;
    private long currentSecond;
    private int writtenLines;
    private int droppedLines;

    EventLog(InstantSource clock, String vm, int maxLinesPerSecond) {
        this.clock = clock;
        this.vm = vm;
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** Writes the event, unless the second's lines are used up. */
    void write(Event event) {
        long millis = clock.millis();
        beginSecond(millis);
        if (writtenLines < maxLinesPerSecond) {
            writtenLines++;
            LOG.info(
                    Json.write(
                            new Line(
                                    millis,
                                    vm,
                                    event.kind().name(),
                                    event.subject(),
                                    event.detail())));
        } else {
            droppedLines++;
        }
    }

    private void beginSecond(long millis) {
        long second = millis / SECOND_MILLIS;
        if (second != currentSecond) {
            if (droppedLines > 0) {
                LOG.info(
                        Json.write(
                                new Line(
                                        millis, vm, "LINES_DROPPED", vm, "count=" + droppedLines)));
            }
            currentSecond = second;
            writtenLines = 0;
            droppedLines = 0;
        }
    }

    /**
     * Is one line.
     *
     * @param t the time, in milliseconds since the epoch
     * @param vm the entry VM
     * @param event what happened
     * @param subject what it happened to: the key of a request, an attempt, an endpoint, a budget
     * @param detail what decided it
     */
    private record Line(long t, String vm, String event, String subject, String detail) {}
}

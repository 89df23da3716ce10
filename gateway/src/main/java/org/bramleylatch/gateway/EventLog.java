package org.bramleylatch.gateway;

import java.time.InstantSource;
import org.bramleylatch.core.Event;
import org.bramleylatch.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes events to standard output as lines of JSON. Events beyond the limit per second are
 * counted, and the count is written with the first event of a later second. The appender drops
 * lines rather than wait if the process that reads the output is slow.
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

    /** Writes the event, or only counts it if the limit of the current second is reached. */
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
     * Holds the fields of one line, whose names are the JSON keys.
     *
     * @param t milliseconds since the epoch
     * @param vm the entry VM
     * @param event the name of an event kind, or LINES_DROPPED
     * @param subject the key of the request, attempt, endpoint or budget that the event is about
     * @param detail the values of the event
     */
    private record Line(long t, String vm, String event, String subject, String detail) {}
}

package org.bramleylatch.gateway;

import java.time.InstantSource;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventPriority;
import org.bramleylatch.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes events to standard output as lines of JSON. Near the limit per second only events of a
 * higher priority are written. The others are counted, and the counts are written with the first
 * event of a later second. The appender drops lines rather than wait if the process that reads the
 * output is slow.
 */
final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("events");
    private static final long SECOND_MILLIS = 1_000;

    private final InstantSource clock;
    private final String vm;
    private final int maxLinesPerSecond;
    private long currentSecond;
    private int writtenLines;
    private final Map<EventPriority, Integer> droppedLines = new EnumMap<>(EventPriority.class);

    EventLog(InstantSource clock, String vm, int maxLinesPerSecond) {
        this.clock = clock;
        this.vm = vm;
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** Writes the event, or counts it if its priority's limit in this second is reached. */
    void write(Event event) {
        long millis = clock.millis();
        beginSecond(millis);
        EventPriority priority = event.kind().priority();
        if (writtenLines < priority.maxLines(maxLinesPerSecond)) {
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
            droppedLines.merge(priority, 1, Integer::sum);
        }
    }

    private void beginSecond(long millis) {
        long second = millis / SECOND_MILLIS;
        if (second != currentSecond) {
            if (!droppedLines.isEmpty()) {
                LOG.info(Json.write(new Line(millis, vm, "LINES_DROPPED", vm, droppedDetail())));
            }
            currentSecond = second;
            writtenLines = 0;
            droppedLines.clear();
        }
    }

    private String droppedDetail() {
        int count = droppedLines.values().stream().mapToInt(Integer::intValue).sum();
        return Stream.of(EventPriority.values())
                .map(
                        priority ->
                                priority.name().toLowerCase(Locale.ROOT)
                                        + "="
                                        + droppedLines.getOrDefault(priority, 0))
                .collect(Collectors.joining(" ", "count=" + count + " ", ""));
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

package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits the body of a stream into server-sent events, each of which ends with an empty line. */
final class EventSplitter {
    /** The longest event that is held until it is complete. */
    static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final String EVENT_END = "\n\n";

    private final Consumer<ServerSentEvent> events;
    private final StringBuilder unfinishedEvent = new StringBuilder();

    EventSplitter(Consumer<ServerSentEvent> events) {
        this.events = events;
    }

    /**
     * Appends the next bytes and emits the events that they complete. Each byte becomes one
     * character (ISO 8859-1), so that the caller later receives the same bytes.
     *
     * @return false if the event that is not complete yet is longer than {@link #MAX_EVENT_BYTES}
     */
    boolean append(Buffer bytes) {
        int searchStart = Math.max(0, unfinishedEvent.length() - EVENT_END.length() + 1);
        unfinishedEvent.append(new String(bytes.getBytes(), StandardCharsets.ISO_8859_1));
        int start = 0;
        int end = unfinishedEvent.indexOf(EVENT_END, searchStart);
        while (end >= 0) {
            events.accept(
                    ServerSentEvent.parse(
                            unfinishedEvent.substring(start, end + EVENT_END.length())));
            start = end + EVENT_END.length();
            end = unfinishedEvent.indexOf(EVENT_END, start);
        }
        unfinishedEvent.delete(0, start);
        return unfinishedEvent.length() <= MAX_EVENT_BYTES;
    }

    /** Returns true if the bytes so far end within an event. */
    boolean hasUnfinishedEvent() {
        return unfinishedEvent.length() > 0;
    }
}

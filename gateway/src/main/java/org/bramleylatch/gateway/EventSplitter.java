package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Splits the body of a stream into server-sent events, each of which ends with an empty line. */
final class EventSplitter {
    /** The longest event that is held until it is complete. */
    static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final String EVENT_END = "\n\n";

    private final StringBuilder text = new StringBuilder();
    private int nextStart;
    private int searchStart;

    /**
     * Appends the next bytes. Each byte becomes one character (ISO 8859-1), so that the caller
     * later receives the same bytes.
     */
    void append(Buffer bytes) {
        text.delete(0, nextStart);
        searchStart -= nextStart;
        nextStart = 0;
        text.append(new String(bytes.getBytes(), StandardCharsets.ISO_8859_1));
    }

    /** Removes and returns the next complete event; empty if there is none. */
    Optional<ServerSentEvent> next() {
        int end = text.indexOf(EVENT_END, searchStart);
        if (end < 0) {
            searchStart = Math.max(nextStart, text.length() - EVENT_END.length() + 1);
            return Optional.empty();
        }
        int start = nextStart;
        nextStart = end + EVENT_END.length();
        searchStart = nextStart;
        return Optional.of(ServerSentEvent.parse(text.substring(start, nextStart)));
    }

    /** Returns true if an event is longer than {@link #MAX_EVENT_BYTES} and not complete yet. */
    boolean holdsTooLongEvent() {
        return searchStart - nextStart > MAX_EVENT_BYTES;
    }

    /** Returns true if the bytes so far end within an event. */
    boolean hasUnfinishedEvent() {
        return text.length() > nextStart;
    }
}

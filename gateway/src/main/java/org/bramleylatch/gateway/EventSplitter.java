package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits the body of a stream into its events; each ends with an empty line. */
final class EventSplitter {
    private static final String END = "\n\n";

    private final Consumer<StreamEvent> events;
    private final StringBuilder rest = new StringBuilder();

    EventSplitter(Consumer<StreamEvent> events) {
        this.events = events;
    }

    /** Takes the next bytes; they are kept as they are, one character for each. */
    void take(Buffer bytes) {
        rest.append(new String(bytes.getBytes(), StandardCharsets.ISO_8859_1));
        int start = 0;
        int end = rest.indexOf(END);
        while (end >= 0) {
            events.accept(StreamEvent.of(rest.substring(start, end + END.length())));
            start = end + END.length();
            end = rest.indexOf(END, start);
        }
        rest.delete(0, start);
    }

    /** Returns true if the bytes so far end in the middle of an event. */
    boolean isMidEvent() {
        return rest.length() > 0;
    }
}

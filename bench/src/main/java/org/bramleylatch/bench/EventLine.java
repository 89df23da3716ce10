package org.bramleylatch.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.wire.Json;

/**
 * Holds the fields of one line of a gateway's event log.
 *
 * @param vm the entry VM
 * @param event the name of an event kind
 * @param subject the id that the event is about
 * @param detail the values of the event
 */
record EventLine(String vm, String event, String subject, String detail) {

    /** Reads the JSON in a line, whatever stands before it; empty if there is no event. */
    static Optional<EventLine> read(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(Json.readTree(line.substring(start)))
                    .filter(tree -> tree.has("vm") && tree.has("event"))
                    .map(EventLine::of);
        } catch (ResultException e) {
            return Optional.empty();
        }
    }

    private static EventLine of(JsonNode tree) {
        return new EventLine(
                tree.path("vm").asText(),
                tree.path("event").asText(),
                tree.path("subject").asText(),
                tree.path("detail").asText());
    }

    /** Returns the first group of the pattern in the detail; empty if it isn't there. */
    Optional<String> find(Pattern pattern) {
        return Optional.of(pattern.matcher(detail))
                .filter(Matcher::find)
                .map(found -> found.group(1));
    }
}

package org.bramleylatch.gateway;

import java.util.OptionalLong;

/**
 * Holds one event of a stream of server-sent events.
 *
 * @param text the event as received, with the empty line that ends it
 * @param id the event id; empty if it is missing or not a number of at most 17 digits
 */
record ServerSentEvent(String text, OptionalLong id) {
    private static final String ID_FIELD = "id:";

    /** Parses an event and its id. */
    static ServerSentEvent parse(String text) {
        return new ServerSentEvent(text, parseId(text));
    }

    private static OptionalLong parseId(String text) {
        int start = text.startsWith(ID_FIELD) ? 0 : text.indexOf('\n' + ID_FIELD) + 1;
        if (start == 0 && !text.startsWith(ID_FIELD)) {
            return OptionalLong.empty();
        }
        int end = text.indexOf('\n', start);
        String digits =
                text.substring(start + ID_FIELD.length(), end < 0 ? text.length() : end).trim();
        return isNumber(digits) ? OptionalLong.of(Long.parseLong(digits)) : OptionalLong.empty();
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty() && text.length() < 18 && text.chars().allMatch(Character::isDigit);
    }
}

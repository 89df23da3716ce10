package org.bramleylatch.gateway;

import java.util.OptionalLong;

/**
 * Is one event of a stream of server-sent events.
 *
 * @param text the event as it was received, with the empty line that ends it
 * @param id its id; empty if it has none or the id is not a number
 */
record StreamEvent(String text, OptionalLong id) {
    private static final String ID = "id:";

    /** Returns the event in the text. */
    static StreamEvent of(String text) {
        return new StreamEvent(text, idIn(text));
    }

    private static OptionalLong idIn(String text) {
        int start = text.startsWith(ID) ? 0 : text.indexOf('\n' + ID) + 1;
        if (start == 0 && !text.startsWith(ID)) {
            return OptionalLong.empty();
        }
        int end = text.indexOf('\n', start);
        String digits = text.substring(start + ID.length(), end < 0 ? text.length() : end).trim();
        return isNumber(digits) ? OptionalLong.of(Long.parseLong(digits)) : OptionalLong.empty();
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty() && text.length() < 18 && text.chars().allMatch(Character::isDigit);
    }
}

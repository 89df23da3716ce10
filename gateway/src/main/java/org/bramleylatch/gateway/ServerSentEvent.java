package org.bramleylatch.gateway;

import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Holds one event of a stream of server-sent events, or the comments between two events.
 *
 * @param text the event as received, with the empty line that ends it
 * @param id the event id; empty if it is missing or not a number of at most 17 digits
 */
record ServerSentEvent(String text, OptionalLong id) {
    private static final String ID_FIELD = "id:";
    private static final Set<String> FIELDS = Set.of("data", "id", "event", "retry");

    /** Parses an event and its id. */
    static ServerSentEvent parse(String text) {
        return new ServerSentEvent(text, parseId(text));
    }

    /**
     * Returns true if the text consists of fields, with at least one that the format defines, or
     * only of comments. An endpoint that fails may write an error, or the head of another answer,
     * into a stream that has begun.
     */
    boolean isWellFormed() {
        return lines().allMatch(ServerSentEvent::isCommentOrField)
                && (isComment() || lines().map(ServerSentEvent::name).anyMatch(FIELDS::contains));
    }

    /** Returns true if the text has no field, so that it does not count as an event. */
    boolean isComment() {
        return lines().allMatch(line -> line.isEmpty() || line.startsWith(":"));
    }

    private Stream<String> lines() {
        return Stream.of(text.split("\n"));
    }

    private static boolean isCommentOrField(String line) {
        return line.startsWith(":")
                || line.isEmpty()
                || (line.indexOf(':') > 0 || FIELDS.contains(line))
                        && name(line).chars().allMatch(ServerSentEvent::isNameCharacter);
    }

    private static String name(String line) {
        int colon = line.indexOf(':');
        return colon < 0 ? line : line.substring(0, colon);
    }

    private static boolean isNameCharacter(int character) {
        return Character.isLetterOrDigit(character) || character == '-' || character == '_';
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

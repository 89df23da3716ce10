package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Is one line of the time line, before the process, its zone and the order are added.
 *
 * @param kind what happened
 * @param subject the id that joins the line with others: a request key, budget, attempt or section
 * @param detail further ids and figures, for people
 */
public record Event(EventKind kind, String subject, String detail) {

    /** Checks that every part is present. */
    public Event {
        requireNonNull(kind, "kind");
        requireNonNull(subject, "subject");
        requireNonNull(detail, "detail");
    }

    /** Returns an event about the given subject. */
    public static Event of(EventKind kind, Object subject, String detail) {
        return new Event(kind, subject.toString(), detail);
    }
}

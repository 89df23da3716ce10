package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Describes one timeline entry before the process, its zone and its position in causal order are
 * added.
 *
 * @param subject the id by which entries are correlated: a request key, budget, attempt or section
 * @param detail further ids and values for human readers, mostly as {@code key=value}
 */
public record Event(EventKind kind, String subject, String detail) {

    /** Rejects null components. */
    public Event {
        requireNonNull(kind, "kind");
        requireNonNull(subject, "subject");
        requireNonNull(detail, "detail");
    }

    /** Creates an event whose subject is the text form of the given id. */
    public static Event of(EventKind kind, Object subject, String detail) {
        return new Event(kind, subject.toString(), detail);
    }
}

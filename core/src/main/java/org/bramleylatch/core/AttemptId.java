package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies one try of a request at one endpoint; not guessable. */
public record AttemptId(String value) implements Comparable<AttemptId> {

    /** Checks that the attempt id is present. */
    public AttemptId {
        requireNonNull(value, "attempt id");
    }

    /**
     * Returns the attempt id with the given text.
     *
     * @param value the text, not null
     */
    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

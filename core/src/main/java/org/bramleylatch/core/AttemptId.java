package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies one attempt of a request at one endpoint. The ids are not guessable. */
public record AttemptId(String value) implements Comparable<AttemptId> {

    /** Rejects a null value with a {@link NullPointerException}. */
    public AttemptId {
        requireNonNull(value, "attempt id");
    }

    /** Returns the attempt id with the given text, which must not be null. */
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

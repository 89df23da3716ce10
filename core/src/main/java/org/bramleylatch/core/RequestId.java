package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies one request within one router. */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Rejects a null value with a {@link NullPointerException}. */
    public RequestId {
        requireNonNull(value, "request id");
    }

    /** Returns the request id with the given text, which must not be null. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies one request as one router sees it. */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Checks that the request id is present. */
    public RequestId {
        requireNonNull(value, "request id");
    }

    /**
     * Returns the request id with the given text.
     *
     * @param value the text, not null
     */
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

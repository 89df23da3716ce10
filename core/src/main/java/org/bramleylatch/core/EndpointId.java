package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies an endpoint, a single server that answers requests. */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Checks that the endpoint id is present. */
    public EndpointId {
        requireNonNull(value, "endpoint id");
    }

    /**
     * Returns the endpoint id with the given text.
     *
     * @param value the text, not null
     */
    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

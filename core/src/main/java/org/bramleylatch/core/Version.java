package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies an endpoint version, the release of a back end that an endpoint runs. */
public record Version(String value) implements Comparable<Version> {

    /** Checks that the endpoint version is present. */
    public Version {
        requireNonNull(value, "endpoint version");
    }

    /**
     * Returns the endpoint version with the given text.
     *
     * @param value the text, not null
     */
    public static Version of(String value) {
        return new Version(value);
    }

    @Override
    public int compareTo(Version other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies an availability zone. */
public record Zone(String value) implements Comparable<Zone> {

    /** Checks that the zone name is present. */
    public Zone {
        requireNonNull(value, "zone name");
    }

    /**
     * Returns the zone name with the given text.
     *
     * @param value the text, not null
     */
    public static Zone of(String value) {
        return new Zone(value);
    }

    @Override
    public int compareTo(Zone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

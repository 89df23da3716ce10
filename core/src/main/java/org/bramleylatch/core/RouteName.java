package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies a route from callers to the endpoints of a back end. */
public record RouteName(String value) implements Comparable<RouteName> {

    /** Checks that the route name is present. */
    public RouteName {
        requireNonNull(value, "route name");
    }

    /**
     * Returns the route name with the given text.
     *
     * @param value the text, not null
     */
    public static RouteName of(String value) {
        return new RouteName(value);
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

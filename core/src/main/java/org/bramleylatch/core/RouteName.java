package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies a route from callers to the endpoints of a back end. */
public record RouteName(String value) implements Comparable<RouteName> {
    private static final String ORDERED_PREFIX = "rollout:";

    /** Checks that the route name is present. */
    public RouteName {
        requireNonNull(value, "route name");
    }

    /** Returns the name of the move that carries out an operator's order for a back end. */
    static RouteName ofOrder(String backEnd, long orderId) {
        return new RouteName(ORDERED_PREFIX + backEnd + ':' + orderId);
    }

    /**
     * Returns the route name with the given text.
     *
     * @param value the text, not null
     */
    public static RouteName of(String value) {
        return new RouteName(value);
    }

    /** Returns true for the name of a move that an operator's order for a back end makes. */
    boolean isOrdered() {
        return value.startsWith(ORDERED_PREFIX);
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

package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/** Identifies a route from callers to the endpoints of a back end. */
public record RouteName(String value) implements Comparable<RouteName> {
    private static final String ORDERED_PREFIX = "rollout:";

    /** Any number of so many digits fits into a long. */
    private static final int MAX_DIGITS = 18;

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

    /** Returns the order whose move has this name; empty if no order made it. */
    Optional<OrderName> order() {
        int separator = value.lastIndexOf(':');
        return Optional.of(value.substring(separator + 1))
                .filter(id -> isOrdered() && separator >= ORDERED_PREFIX.length() && isNumber(id))
                .map(Long::parseLong)
                .map(id -> new OrderName(value.substring(ORDERED_PREFIX.length(), separator), id));
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_DIGITS
                && text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }

    /** Names an operator's order for a back end. */
    record OrderName(String backEnd, long orderId) {}

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

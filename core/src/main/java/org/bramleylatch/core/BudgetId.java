package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies a prepaid budget. */
public record BudgetId(String value) implements Comparable<BudgetId> {

    /** Marks requests that are not metered. */
    public static final BudgetId NONE = new BudgetId("");

    /** Throws {@link NullPointerException} if the value is null. */
    public BudgetId {
        requireNonNull(value, "budget id");
    }

    /**
     * Returns the budget id with the given text.
     *
     * @param value the text, not null
     */
    public static BudgetId of(String value) {
        return new BudgetId(value);
    }

    @Override
    public int compareTo(BudgetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies the share of one budget that one keeper incarnation holds. */
public record GrantKey(BudgetId budget, Incarnation holder) {

    /** Checks that both parts are present. */
    public GrantKey {
        requireNonNull(budget, "budget");
        requireNonNull(holder, "holder");
    }

    /** Returns the key for the budget and its holder. */
    public static GrantKey of(BudgetId budget, Incarnation holder) {
        return new GrantKey(budget, holder);
    }
}

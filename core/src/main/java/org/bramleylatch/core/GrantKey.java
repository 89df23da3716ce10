package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/** Identifies the grant that one keeper incarnation holds of one budget. */
public record GrantKey(BudgetId budget, Incarnation holder) {

    /** Throws {@link NullPointerException} if a part is null. */
    public GrantKey {
        requireNonNull(budget, "budget");
        requireNonNull(holder, "holder");
    }

    /** Returns the key of the holder's grant of the budget. */
    public static GrantKey of(BudgetId budget, Incarnation holder) {
        return new GrantKey(budget, holder);
    }
}

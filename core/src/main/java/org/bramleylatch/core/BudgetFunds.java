package org.bramleylatch.core;

/**
 * Is how much was paid into a budget in total, as the operator's configuration states it.
 *
 * @param budget the budget
 * @param paidTokens all that was ever paid, in tokens
 */
public record BudgetFunds(BudgetId budget, long paidTokens) {

    /** Returns the funds of a budget. */
    public static BudgetFunds of(BudgetId budget, long paidTokens) {
        return new BudgetFunds(budget, paidTokens);
    }
}

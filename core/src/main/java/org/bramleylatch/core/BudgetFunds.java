package org.bramleylatch.core;

/**
 * Holds the total paid into a budget according to the operator's configuration.
 *
 * @param paidTokens everything paid so far, in tokens
 */
public record BudgetFunds(BudgetId budget, long paidTokens) {

    /** Returns the funds of a budget, with the total in tokens. */
    public static BudgetFunds of(BudgetId budget, long paidTokens) {
        return new BudgetFunds(budget, paidTokens);
    }
}

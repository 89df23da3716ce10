package org.bramleylatch.core;

/**
 * Holds the account of one budget, in tokens. Free tokens are paid minus settled minus open ones.
 *
 * @param paidTokens all tokens paid in so far
 * @param settledTokens all tokens billed so far
 * @param openTokens tokens granted to holders and neither settled nor returned
 */
public record BudgetRow(BudgetId id, long paidTokens, long settledTokens, long openTokens) {

    /** Returns a budget without tokens. */
    public static BudgetRow of(BudgetId id) {
        return new BudgetRow(id, 0, 0, 0);
    }

    /** Returns the tokens that can still be granted. */
    public long freeTokens() {
        return paidTokens - settledTokens - openTokens;
    }

    /**
     * Returns true if no part is negative, so that no more was spent than paid. The name has no
     * "is", as the JSON mapper would encode such a method as a property.
     */
    public boolean balances() {
        return paidTokens >= 0 && settledTokens >= 0 && openTokens >= 0 && freeTokens() >= 0;
    }

    /** Returns the account after the given tokens were paid in. */
    public BudgetRow addPaid(long tokens) {
        return new BudgetRow(id, paidTokens + tokens, settledTokens, openTokens);
    }

    /** Returns the account after tokens were granted (positive) or returned (negative). */
    public BudgetRow addOpen(long tokens) {
        return new BudgetRow(id, paidTokens, settledTokens, openTokens + tokens);
    }

    /** Returns the account after open tokens were billed. */
    public BudgetRow settle(long tokens) {
        return new BudgetRow(id, paidTokens, settledTokens + tokens, openTokens - tokens);
    }

    /** Returns the account with the given total of open tokens. */
    BudgetRow withOpen(long tokens) {
        return new BudgetRow(id, paidTokens, settledTokens, tokens);
    }

    /** Returns the account with the billed tokens changed by the given amount. */
    BudgetRow addSettled(long tokens) {
        return new BudgetRow(id, paidTokens, settledTokens + tokens, openTokens);
    }
}

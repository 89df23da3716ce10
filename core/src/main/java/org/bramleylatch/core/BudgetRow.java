package org.bramleylatch.core;

/**
 * Is the account of one budget, in tokens. What is free is paid less settled less open.
 *
 * @param paidTokens all that was ever paid in
 * @param settledTokens all that was billed
 * @param openTokens what holders have been granted and have neither settled nor returned
 */
public record BudgetRow(BudgetId id, long paidTokens, long settledTokens, long openTokens) {

    /** Returns a budget that nothing was paid into yet. */
    public static BudgetRow of(BudgetId id) {
        return new BudgetRow(id, 0, 0, 0);
    }

    /** Returns the tokens that may be granted. */
    public long freeTokens() {
        return paidTokens - settledTokens - openTokens;
    }

    /** Returns true if no part is negative, so that nothing was spent beyond what was paid. */
    public boolean balances() {
        return paidTokens >= 0 && settledTokens >= 0 && openTokens >= 0 && freeTokens() >= 0;
    }

    /** Returns the account after tokens were paid in. */
    public BudgetRow paid(long tokens) {
        return new BudgetRow(id, paidTokens + tokens, settledTokens, openTokens);
    }

    /** Returns the account after tokens were granted (positive) or returned (negative). */
    public BudgetRow opened(long tokens) {
        return new BudgetRow(id, paidTokens, settledTokens, openTokens + tokens);
    }

    /** Returns the account after granted tokens were billed. */
    public BudgetRow settled(long tokens) {
        return new BudgetRow(id, paidTokens, settledTokens + tokens, openTokens - tokens);
    }
}

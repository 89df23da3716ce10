package org.bramleylatch.core;

import java.util.List;

/**
 * Is what operators are shown of one budget, in tokens.
 *
 * @param openTokens granted to holders that are thought to live
 * @param frozenTokens granted to holders that are thought to be away
 */
public record BudgetStatement(
        BudgetId budget,
        long paidTokens,
        long settledTokens,
        long openTokens,
        long frozenTokens,
        long freeTokens) {

    /** Returns the statement of the account and its grants. */
    public static BudgetStatement of(BudgetRow row, List<GrantRow> grants) {
        return new BudgetStatement(
                row.id(),
                row.paidTokens(),
                row.settledTokens(),
                open(grants, false),
                open(grants, true),
                row.freeTokens());
    }

    /** Returns true if the parts add up to what was paid and none is negative. */
    public boolean balances() {
        long parts = settledTokens + openTokens + frozenTokens + freeTokens;
        return parts == paidTokens
                && settledTokens >= 0
                && openTokens >= 0
                && frozenTokens >= 0
                && freeTokens >= 0;
    }

    private static long open(List<GrantRow> grants, boolean frozen) {
        return grants.stream()
                .filter(grant -> grant.frozen() == frozen)
                .mapToLong(GrantRow::openTokens)
                .sum();
    }
}

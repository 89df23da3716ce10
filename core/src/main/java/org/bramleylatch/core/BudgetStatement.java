package org.bramleylatch.core;

import java.util.List;

/**
 * Summarizes one budget for operators, in tokens.
 *
 * @param openTokens granted to holders that are presumed up
 * @param frozenTokens granted to holders that are presumed down
 */
public record BudgetStatement(
        BudgetId budget,
        long paidTokens,
        long settledTokens,
        long openTokens,
        long frozenTokens,
        long freeTokens) {

    /** Returns the statement of a budget's account and its grants. */
    public static BudgetStatement of(BudgetRow row, List<GrantRow> grants) {
        return new BudgetStatement(
                row.id(),
                row.paidTokens(),
                row.settledTokens(),
                sumOpenTokens(grants, false),
                sumOpenTokens(grants, true),
                row.freeTokens());
    }

    /**
     * Returns true if the parts add up to what was paid and none is negative. The name has no "is",
     * as the JSON mapper would encode such a method as a property.
     */
    public boolean balances() {
        long parts = settledTokens + openTokens + frozenTokens + freeTokens;
        return parts == paidTokens
                && settledTokens >= 0
                && openTokens >= 0
                && frozenTokens >= 0
                && freeTokens >= 0;
    }

    private static long sumOpenTokens(List<GrantRow> grants, boolean frozen) {
        return grants.stream()
                .filter(grant -> grant.frozen() == frozen)
                .mapToLong(GrantRow::openTokens)
                .sum();
    }
}

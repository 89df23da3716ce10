package org.bramleylatch.core;

import java.util.List;

/**
 * Is what a policy for grant sizes may look at.
 *
 * @param budget the account
 * @param grants the grants of all holders, this keeper's among them if it has one
 * @param self this keeper
 * @param availableTokens what this keeper holds and has not bound
 * @param neededTokens what waiting requests need
 * @param demandTokensPerHour this keeper's forecast
 */
public record GrantView(
        BudgetRow budget,
        List<GrantRow> grants,
        Incarnation self,
        long availableTokens,
        long neededTokens,
        long demandTokensPerHour) {

    /** Copies the list. */
    public GrantView {
        grants = List.copyOf(grants);
    }

    /** Returns the tokens that this keeper has open. */
    public long ownOpenTokens() {
        return grants.stream().filter(this::isOwn).mapToLong(GrantRow::openTokens).sum();
    }

    /** Returns the tokens that were billed against this keeper's grant. */
    public long ownSettledTokens() {
        return grants.stream().filter(this::isOwn).mapToLong(GrantRow::settledTokens).sum();
    }

    /** Returns the tokens that other holders' requests wait for. */
    public long wantedByOthersTokens() {
        return grants.stream()
                .filter(grant -> !isOwn(grant))
                .mapToLong(GrantRow::wantedTokens)
                .sum();
    }

    /** Returns the sum of the other living holders' forecasts, in tokens an hour. */
    public long demandOfOthersPerHour() {
        return grants.stream()
                .filter(grant -> !isOwn(grant) && !grant.frozen())
                .mapToLong(GrantRow::demandTokensPerHour)
                .sum();
    }

    /** Returns the tokens that neither were billed nor are frozen. */
    public long spendableTokens() {
        long frozen =
                grants.stream().filter(GrantRow::frozen).mapToLong(GrantRow::openTokens).sum();
        return budget.paidTokens() - budget.settledTokens() - frozen;
    }

    private boolean isOwn(GrantRow grant) {
        return grant.key().holder().equals(self);
    }
}

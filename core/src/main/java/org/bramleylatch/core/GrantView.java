package org.bramleylatch.core;

import java.util.List;

/**
 * Holds the state on which a {@link GrantPolicy} bases its decision.
 *
 * @param grants the grants of all holders, including this keeper's if it has one
 * @param self the keeper whose grant is to be sized
 * @param idleTokens what this keeper holds and has not committed to requests
 * @param neededIdleTokens how many idle tokens this keeper needs to serve the waiting requests
 * @param demandTokensPerHour this keeper's forecast
 * @param requestTokens the mean reservation of recent requests; 0 if there was none
 */
public record GrantView(
        BudgetRow budget,
        List<GrantRow> grants,
        Incarnation self,
        long idleTokens,
        long neededIdleTokens,
        long demandTokensPerHour,
        long requestTokens) {

    /** Copies the list. */
    public GrantView {
        grants = List.copyOf(grants);
    }

    /** Returns how many tokens this keeper may still spend; 0 if it has no grant. */
    public long ownOpenTokens() {
        return grants.stream().filter(this::isOwn).mapToLong(GrantRow::openTokens).sum();
    }

    /** Returns how many tokens were billed against this keeper's grant; 0 if it has none. */
    public long ownSettledTokens() {
        return grants.stream().filter(this::isOwn).mapToLong(GrantRow::settledTokens).sum();
    }

    /** Returns how many tokens the other holders asked for and did not get. */
    public long tokensWantedByOthers() {
        return grants.stream()
                .filter(grant -> !isOwn(grant))
                .mapToLong(GrantRow::wantedTokens)
                .sum();
    }

    /** Returns the sum of the other holders' forecasts, in tokens per hour, without frozen ones. */
    public long othersDemandTokensPerHour() {
        return grants.stream()
                .filter(grant -> !isOwn(grant) && !grant.frozen())
                .mapToLong(GrantRow::demandTokensPerHour)
                .sum();
    }

    /** Returns the paid tokens less those that were billed or are held by frozen holders. */
    public long spendableTokens() {
        return budget.paidTokens() - budget.settledTokens() - frozenTokens();
    }

    /** Returns which part of the tokens that were not billed is held by frozen holders. */
    double frozenShare() {
        long unbilledTokens = budget.paidTokens() - budget.settledTokens();
        return frozenTokens() / (double) Math.max(1, unbilledTokens);
    }

    private long frozenTokens() {
        return grants.stream().filter(GrantRow::frozen).mapToLong(GrantRow::openTokens).sum();
    }

    /** Returns this keeper's share of the spendable tokens, by forecast demand. */
    public long shareTokens() {
        double ownDemand = Math.max(1, demandTokensPerHour);
        return (long) (spendableTokens() * ownDemand / (ownDemand + othersDemandTokensPerHour()));
    }

    private boolean isOwn(GrantRow grant) {
        return grant.key().holder().equals(self);
    }
}

package org.bramleylatch.core;

/**
 * Holds the share of a budget that was granted to one holder.
 *
 * @param openTokens tokens that the holder may still use
 * @param settledTokens tokens billed against this grant so far
 * @param wantedTokens tokens that the holder needs and that were not free when it asked
 * @param demandTokensPerHour the holder's last forecast of its demand
 * @param frozen true if the holder is presumed down
 */
public record GrantRow(
        GrantKey key,
        long openTokens,
        long settledTokens,
        long wantedTokens,
        long demandTokensPerHour,
        boolean frozen) {

    /** Returns a grant without tokens. */
    public static GrantRow of(GrantKey key) {
        return new GrantRow(key, 0, 0, 0, 0, false);
    }

    /** Returns the grant after its holder asked; it is unfrozen, as a holder that asks is up. */
    public GrantRow addGranted(
            long grantedTokens, long missingTokens, long newDemandTokensPerHour) {
        return new GrantRow(
                key,
                openTokens + grantedTokens,
                settledTokens,
                missingTokens,
                newDemandTokensPerHour,
                false);
    }

    /** Returns the grant after open tokens were billed. */
    public GrantRow settle(long tokens) {
        return new GrantRow(
                key,
                openTokens - tokens,
                settledTokens + tokens,
                wantedTokens,
                demandTokensPerHour,
                frozen);
    }

    /** Returns the grant after open tokens were returned to the budget. */
    public GrantRow returnTokens(long tokens) {
        return new GrantRow(
                key, openTokens - tokens, settledTokens, wantedTokens, demandTokensPerHour, frozen);
    }

    /** Returns the frozen grant, whose holder is presumed down and wants no more tokens. */
    public GrantRow freeze() {
        return new GrantRow(key, openTokens, settledTokens, 0, 0, true);
    }
}

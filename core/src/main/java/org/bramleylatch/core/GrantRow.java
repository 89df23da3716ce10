package org.bramleylatch.core;

/**
 * Is the share of a budget that one holder has.
 *
 * @param openTokens what the holder may still spend
 * @param settledTokens what was billed against this share so far
 * @param wantedTokens what the holder asked for and did not get
 * @param demandTokensPerHour the holder's last forecast
 * @param frozen true if the holder is thought to be away
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

    /** Returns the grant after it was asked for; a holder that asks is not away. */
    public GrantRow asked(long grantedTokens, long missingTokens, long demandPerHour) {
        return new GrantRow(
                key,
                openTokens + grantedTokens,
                settledTokens,
                missingTokens,
                demandPerHour,
                false);
    }

    /** Returns the grant after tokens were billed. */
    public GrantRow settled(long tokens) {
        return new GrantRow(
                key,
                openTokens - tokens,
                settledTokens + tokens,
                wantedTokens,
                demandTokensPerHour,
                frozen);
    }

    /** Returns the grant after tokens were returned. */
    public GrantRow returned(long tokens) {
        return new GrantRow(
                key, openTokens - tokens, settledTokens, wantedTokens, demandTokensPerHour, frozen);
    }

    /** Returns the grant of a holder that is thought to be away. */
    public GrantRow freeze() {
        return new GrantRow(key, openTokens, settledTokens, 0, 0, true);
    }
}

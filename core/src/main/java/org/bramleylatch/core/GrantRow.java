package org.bramleylatch.core;

/**
 * Is the share of a budget that one holder has.
 *
 * @param openTokens what the holder may still spend
 * @param wantedTokens what the holder asked for and did not get
 * @param demandTokensPerHour the holder's last forecast
 * @param frozen true if the holder is thought to be away
 */
public record GrantRow(
        GrantKey key,
        long openTokens,
        long wantedTokens,
        long demandTokensPerHour,
        boolean frozen) {

    /** Returns a grant without tokens. */
    public static GrantRow of(GrantKey key) {
        return new GrantRow(key, 0, 0, 0, false);
    }

    /** Returns the grant after it was asked for; a holder that asks is not away. */
    public GrantRow asked(long grantedTokens, long missingTokens, long demandPerHour) {
        return new GrantRow(key, openTokens + grantedTokens, missingTokens, demandPerHour, false);
    }

    /** Returns the grant after tokens were billed or returned. */
    public GrantRow less(long tokens) {
        return new GrantRow(key, openTokens - tokens, wantedTokens, demandTokensPerHour, frozen);
    }

    /** Returns the grant with a smaller wish, after other holders returned tokens. */
    public GrantRow wanting(long tokens) {
        return new GrantRow(key, openTokens, tokens, demandTokensPerHour, frozen);
    }

    /** Returns the grant of a holder that is thought to be away. */
    public GrantRow freeze() {
        return new GrantRow(key, openTokens, 0, 0, true);
    }
}

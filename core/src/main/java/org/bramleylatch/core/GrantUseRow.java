package org.bramleylatch.core;

/**
 * Tracks how this keeper uses its own grant of one budget, in tokens.
 *
 * @param reservedTokens reserved for running requests
 * @param pendingTokens used and not yet read back from the log
 * @param returningTokens returned to the budget and not yet read back from the log
 * @param askInFlight true while a request for a larger grant has not been read back from the log
 * @param demandTokensPerHour the forecast from recent requests, as of demandMillis
 * @param demandMillis when the forecast was last updated, in milliseconds
 * @param requestTokens the mean reservation of recent requests; 0 before the first
 * @param halfLifeMillis the time in which the weight of past demand halves, in milliseconds
 */
public record GrantUseRow(
        BudgetId budget,
        long reservedTokens,
        long pendingTokens,
        long returningTokens,
        boolean askInFlight,
        double demandTokensPerHour,
        long demandMillis,
        long requestTokens,
        long halfLifeMillis) {

    /** A request changes the mean by this part of its difference. */
    private static final double REQUEST_WEIGHT = 0.2;

    private static final double MILLIS_PER_HOUR = 60 * 60 * 1000.0;

    /** Returns a row without committed tokens or demand. */
    public static GrantUseRow of(BudgetId budget, long nowMillis, long halfLifeMillis) {
        return new GrantUseRow(budget, 0, 0, 0, false, 0, nowMillis, 0, halfLifeMillis);
    }

    /** Returns the tokens that can be neither reserved nor returned. */
    public long committedTokens() {
        return reservedTokens + pendingTokens + returningTokens;
    }

    /** Returns the tokens that requests may have used and that are not billed in the log. */
    long spentTokens() {
        return reservedTokens + pendingTokens;
    }

    /** Returns the row with the reserved tokens changed by the given amount. */
    public GrantUseRow addReserved(long tokens) {
        return with(reservedTokens + tokens, pendingTokens, returningTokens, askInFlight);
    }

    /** Returns the row with the pending usage changed by the given amount. */
    public GrantUseRow addPending(long tokens) {
        return with(reservedTokens, pendingTokens + tokens, returningTokens, askInFlight);
    }

    /** Returns the row with the tokens being returned changed by the given amount. */
    public GrantUseRow addReturning(long tokens) {
        return with(reservedTokens, pendingTokens, returningTokens + tokens, askInFlight);
    }

    /** Returns the row with or without a request for a larger grant in flight. */
    public GrantUseRow withAskInFlight(boolean inFlight) {
        return with(reservedTokens, pendingTokens, returningTokens, inFlight);
    }

    /** Returns the row without anything in flight, as what was sent is dropped. */
    GrantUseRow withNothingInFlight() {
        return with(reservedTokens, pendingTokens, 0, false);
    }

    /** Returns the row with the demand raised by a request for the given tokens. */
    public GrantUseRow addDemand(long tokens, long nowMillis) {
        double added = tokens * Math.log(2) * MILLIS_PER_HOUR / halfLifeMillis;
        return new GrantUseRow(
                budget,
                reservedTokens,
                pendingTokens,
                returningTokens,
                askInFlight,
                demandTokensPerHourAt(nowMillis) + added,
                nowMillis,
                meanRequestTokens(tokens),
                halfLifeMillis);
    }

    /** Returns the forecast at the given time, in tokens per hour. */
    public double demandTokensPerHourAt(long nowMillis) {
        double halfLives = (nowMillis - demandMillis) / (double) halfLifeMillis;
        return demandTokensPerHour * Math.pow(0.5, Math.max(0, halfLives));
    }

    private GrantUseRow with(long reserved, long pending, long returning, boolean inFlight) {
        return new GrantUseRow(
                budget,
                reserved,
                pending,
                returning,
                inFlight,
                demandTokensPerHour,
                demandMillis,
                requestTokens,
                halfLifeMillis);
    }

    private long meanRequestTokens(long tokens) {
        return requestTokens == 0
                ? tokens
                : Math.round(requestTokens + REQUEST_WEIGHT * (tokens - requestTokens));
    }
}

package org.bramleylatch.core;

import java.util.List;

/**
 * Bounds what a holder spends of its grant of one budget: the sum of the tokens that were billed,
 * that are used and not yet billed, and that are reserved. The bound rises with the time since the
 * heartbeat that names it, so that the holder can go on without the log.
 *
 * @param tokens the bound at the time of the heartbeat
 * @param paceTokensPerHour by how much the bound rises
 */
public record SpendingLimit(BudgetId budget, long tokens, long paceTokensPerHour) {
    private static final double MILLIS_PER_HOUR = 3_600_000;

    /** Returns the bound at the given time after the heartbeat, in milliseconds. */
    long tokensAfter(long elapsedMillis) {
        double elapsedHours = Math.max(0, elapsedMillis) / MILLIS_PER_HOUR;
        return (long) (tokens + paceTokensPerHour * elapsedHours);
    }

    /**
     * Returns the bound on the budget; 0 if no limit names it.
     *
     * @param elapsedMillis the time since the heartbeat that names the limits
     */
    static long tokensAfter(List<SpendingLimit> limits, BudgetId budget, long elapsedMillis) {
        return limits.stream()
                .filter(limit -> limit.budget().equals(budget))
                .mapToLong(limit -> limit.tokensAfter(elapsedMillis))
                .findFirst()
                .orElse(0);
    }

    /** Returns true if no amount is negative. */
    boolean isInRange() {
        return tokens >= 0 && paceTokensPerHour >= 0;
    }
}

package org.bramleylatch.core;

/** Decides how large a keeper's grant of one budget should be. */
@FunctionalInterface
public interface GrantPolicy {

    /** Decides whether to ask for tokens, return some, or leave the grant as it is. */
    GrantPlan plan(GrantView view);

    /** Converts a horizon in milliseconds to hours. */
    double MILLIS_PER_HOUR = 3_600_000;

    /** The fraction of its target below which a holder asks for more. */
    double LOW_WATERMARK = 0.5;

    /** The multiple of its target above which a holder returns tokens. */
    double HIGH_WATERMARK = 2;

    /**
     * The high watermark for short-term grants. It is close to 1, because the tokens that a holder
     * has when it crashes are lost to all others.
     */
    double SHORT_TERM_HIGH_WATERMARK = 1.3;

    /**
     * The low watermark for short-term grants. It is close to 1, because grants last for seconds
     * and the log may be unreachable for most of that time.
     */
    double SHORT_TERM_LOW_WATERMARK = 0.8;

    /** In seconds, a small budget has few requests, and their number varies widely. */
    double SHORT_TERM_MARGIN_DEVIATIONS = 2.25;

    /**
     * Returns the policy by forecast demand for grants that last for seconds.
     *
     * @param horizonMillis how long a full grant lasts at the forecast demand
     * @param smallestTokens how much is held in addition, and the smallest amount worth asking for
     */
    static GrantPolicy byShortTermDemand(long horizonMillis, long smallestTokens) {
        return new DemandGrantPolicy(
                horizonMillis / MILLIS_PER_HOUR,
                smallestTokens,
                SHORT_TERM_LOW_WATERMARK,
                SHORT_TERM_HIGH_WATERMARK,
                SHORT_TERM_MARGIN_DEVIATIONS);
    }

    /**
     * Returns the policy that divides a budget by forecast demand. A holder keeps enough tokens for
     * the horizon, but no more than its proportional share, and returns some if other holders'
     * requests wait for tokens.
     *
     * @param horizonHours how long a holder should be able to serve while the log is unreachable
     * @param smallestTokens the smallest amount worth asking for
     */
    static GrantPolicy byDemand(double horizonHours, long smallestTokens) {
        return new DemandGrantPolicy(
                horizonHours, smallestTokens, LOW_WATERMARK, HIGH_WATERMARK, 0);
    }

    /**
     * Returns a baseline for comparison that gives every holder the same part of the paid tokens.
     *
     * @param holders the number of holders, at least 1
     */
    static GrantPolicy equalSplit(int holders) {
        return view -> {
            long shareTokens = view.budget().paidTokens() / holders;
            long missingTokens = shareTokens - view.ownOpenTokens() - view.ownSettledTokens();
            return GrantPlan.asking(Math.min(missingTokens, view.budget().freeTokens()));
        };
    }

    /** Returns a baseline for comparison that asks for each request and holds no spare tokens. */
    static GrantPolicy perRequest() {
        return view ->
                view.neededIdleTokens() > 0
                        ? GrantPlan.asking(view.neededIdleTokens() - view.idleTokens())
                        : GrantPlan.returning(view.idleTokens());
    }
}

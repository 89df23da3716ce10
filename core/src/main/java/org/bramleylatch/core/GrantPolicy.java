package org.bramleylatch.core;

/** Decides how large a keeper's grant of one budget should be. */
@FunctionalInterface
public interface GrantPolicy {

    /** Returns what to do about the grant that the view shows. */
    GrantPlan plan(GrantView view);

    /** Milliseconds in an hour. */
    double MILLIS_PER_HOUR = 3_600_000;

    /** The part of its target below which a holder asks for more. */
    double HALF = 0.5;

    /** The multiple of its target above which a holder gives back. */
    double TWICE = 2;

    /** The same where what a holder has when it dies is lost to all others. */
    double LITTLE_MORE = 1.3;

    /** The same where grants last for seconds and the log may be away for most of them. */
    double MOST = 0.8;

    /**
     * Returns the policy by demand for grants that last for seconds.
     *
     * @param horizonMillis how long a full grant lasts at the forecast demand
     * @param smallestTokens what is held beyond that, and the least that is worth asking for
     */
    static GrantPolicy bySeconds(long horizonMillis, long smallestTokens) {
        return new DemandGrantPolicy(
                horizonMillis / MILLIS_PER_HOUR, smallestTokens, MOST, LITTLE_MORE);
    }

    /**
     * Returns the policy that shares a budget by forecast demand. A holder keeps enough for the
     * horizon, never more than its share, and gives way to requests that wait elsewhere.
     *
     * @param horizonHours for how long a holder should be able to serve while cut off
     * @param smallestTokens the smallest amount worth asking for
     */
    static GrantPolicy byDemand(double horizonHours, long smallestTokens) {
        return new DemandGrantPolicy(horizonHours, smallestTokens, HALF, TWICE);
    }

    /**
     * Returns the baseline that gives every holder the same part of what was paid.
     *
     * @param holders the number of holders
     */
    static GrantPolicy equalSplit(int holders) {
        return view -> {
            long share = view.budget().paidTokens() / holders;
            long missing = share - view.ownOpenTokens() - view.ownSettledTokens();
            return GrantPlan.ask(Math.min(missing, view.budget().freeTokens()));
        };
    }

    /** Returns the baseline that asks the log for every request and keeps nothing. */
    static GrantPolicy byRequest() {
        return view ->
                view.neededTokens() > 0
                        ? GrantPlan.ask(view.neededTokens() - view.availableTokens())
                        : GrantPlan.giveBack(view.availableTokens());
    }
}

package org.bramleylatch.core;

/** Decides how large a keeper's grant of one budget should be. */
@FunctionalInterface
public interface GrantPolicy {

    /** Returns what to do about the grant that the view shows. */
    GrantPlan plan(GrantView view);

    /**
     * Returns the policy that shares a budget by forecast demand. A holder keeps enough for the
     * horizon, never more than its share, and gives way to requests that wait elsewhere.
     *
     * @param horizonHours for how long a holder should be able to serve while cut off
     * @param smallestTokens the smallest amount worth asking for
     */
    static GrantPolicy byDemand(double horizonHours, long smallestTokens) {
        return new DemandGrantPolicy(horizonHours, smallestTokens);
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

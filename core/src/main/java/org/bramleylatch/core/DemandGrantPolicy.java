package org.bramleylatch.core;

/**
 * Divides a budget among its holders in proportion to their forecast demand.
 *
 * @param horizonHours how long a holder should be able to serve while the log is unreachable
 * @param smallestTokens the smallest amount worth asking for
 * @param lowWatermark the fraction of its target below which a holder asks for more
 * @param highWatermark the multiple of its target above which a holder returns tokens
 * @param marginDeviations how many standard deviations of the horizon's demand are held in
 *     addition, as requests arrive at random
 */
record DemandGrantPolicy(
        double horizonHours,
        long smallestTokens,
        double lowWatermark,
        double highWatermark,
        double marginDeviations)
        implements GrantPolicy {
    @Override
    public GrantPlan plan(GrantView view) {
        long targetTokens = targetTokens(view);
        if (view.idleTokens() < view.neededIdleTokens()) {
            return GrantPlan.asking(
                    Math.max(
                            view.neededIdleTokens() - view.idleTokens(),
                            missingTokens(view, targetTokens)));
        }
        if (view.tokensWantedByOthers() > 0 && view.neededIdleTokens() == 0) {
            return GrantPlan.returning(tokensToReturn(view, targetTokens));
        }
        if (isWorthAsking(view, targetTokens)) {
            return GrantPlan.asking(
                    Math.min(missingTokens(view, targetTokens), view.budget().freeTokens()));
        }
        return returnSurplus(view, targetTokens);
    }

    private long targetTokens(GrantView view) {
        double demandTokens = view.demandTokensPerHour() * horizonHours;
        double horizonTokens = demandTokens + marginTokens(view, demandTokens) + smallestTokens;
        return (long) Math.max(0, Math.min(view.shareTokens(), horizonTokens));
    }

    /** The number of random arrivals has its mean as variance. */
    private double marginTokens(GrantView view, double demandTokens) {
        return marginDeviations * Math.sqrt(demandTokens * view.requestTokens());
    }

    private long missingTokens(GrantView view, long targetTokens) {
        return Math.max(0, targetTokens - view.ownOpenTokens());
    }

    private boolean isWorthAsking(GrantView view, long targetTokens) {
        return view.demandTokensPerHour() > 0
                && view.ownOpenTokens() < targetTokens * lowWatermark
                && Math.min(missingTokens(view, targetTokens), view.budget().freeTokens())
                        >= smallestTokens;
    }

    private long tokensToReturn(GrantView view, long targetTokens) {
        long wantedTokens = view.tokensWantedByOthers();
        long idleTokens = view.idleTokens();
        long spareTokens = Math.max(0, idleTokens - targetTokens);
        long halfOfIdleTokens = idleTokens <= smallestTokens ? idleTokens : idleTokens / 2;
        return Math.min(
                Math.min(wantedTokens, idleTokens), Math.max(spareTokens, halfOfIdleTokens));
    }

    private GrantPlan returnSurplus(GrantView view, long targetTokens) {
        long surplusTokens = view.idleTokens() - targetTokens;
        return view.idleTokens() > targetTokens * highWatermark + smallestTokens
                ? GrantPlan.returning(surplusTokens)
                : GrantPlan.unchanged();
    }
}

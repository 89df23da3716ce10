package org.bramleylatch.core;

/**
 * Shares a budget by forecast demand.
 *
 * @param horizonHours for how long a holder should be able to serve while cut off
 * @param smallestTokens the smallest amount worth asking for
 * @param lowWatermark the part of its target below which a holder asks for more
 * @param highWatermark the multiple of its target above which a holder gives back
 */
record DemandGrantPolicy(
        double horizonHours, long smallestTokens, double lowWatermark, double highWatermark)
        implements GrantPolicy {
    @Override
    public GrantPlan plan(GrantView view) {
        long target = targetTokens(view);
        if (view.availableTokens() < view.neededTokens()) {
            return GrantPlan.ask(
                    Math.max(view.neededTokens() - view.availableTokens(), missing(view, target)));
        }
        if (view.wantedByOthersTokens() > 0 && view.neededTokens() == 0) {
            return GrantPlan.giveBack(tokensToYield(view, target));
        }
        if (isWorthAsking(view, target)) {
            return GrantPlan.ask(Math.min(missing(view, target), view.budget().freeTokens()));
        }
        return surplus(view, target);
    }

    private long targetTokens(GrantView view) {
        double own = Math.max(1, view.demandTokensPerHour());
        double share = view.spendableTokens() * own / (own + view.demandOfOthersPerHour());
        double horizon = view.demandTokensPerHour() * horizonHours + smallestTokens;
        return (long) Math.max(0, Math.min(share, horizon));
    }

    private long missing(GrantView view, long target) {
        return Math.max(0, target - view.ownOpenTokens());
    }

    private boolean isWorthAsking(GrantView view, long target) {
        return view.demandTokensPerHour() > 0
                && view.ownOpenTokens() < target * lowWatermark
                && Math.min(missing(view, target), view.budget().freeTokens()) >= smallestTokens;
    }

    private long tokensToYield(GrantView view, long target) {
        long wanted = view.wantedByOthersTokens();
        long available = view.availableTokens();
        long spare = Math.max(0, available - target);
        long half = available <= smallestTokens ? available : available / 2;
        return Math.min(Math.min(wanted, available), Math.max(spare, half));
    }

    private GrantPlan surplus(GrantView view, long target) {
        long over = view.availableTokens() - target;
        return view.availableTokens() > target * highWatermark + smallestTokens
                ? GrantPlan.giveBack(over)
                : GrantPlan.keep();
    }
}

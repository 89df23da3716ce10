package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Keeps what this keeper spends within the limits of each of its heartbeats that may be the last
 * one in the log. A successor therefore knows what this keeper has spent at most, and returns the
 * rest of its grants.
 */
record SpendingLimitSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    /** A burst of this many requests is served without a wait for the next heartbeat. */
    private static final int MARGIN_REQUESTS = 2;

    /** Requests arrive at random, so that for some time they need more than the forecast. */
    private static final double PACE_PER_DEMAND = 1.5;

    /** A loss of power freezes no larger part of what is left of a budget as a margin. */
    private static final double MARGIN_SHARE = 0.1;

    /** What is left of a budget lasts for at least 15 s without the log. */
    private static final double SHARES_PER_HOUR = 240;

    /** It lasts for at least 50 s once a loss of power has frozen {@link #CAUTION_SHARE}. */
    private static final double CAUTIOUS_SHARES_PER_HOUR = 72;

    private static final double CAUTION_SHARE = 0.1;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (limits.spendingLimited()) {
            world.spendingLimits().applyAt(nowMillis);
        }
    }

    /**
     * Returns true if this keeper's grant covers the request and only the limit does not, so that
     * the next heartbeat allows it.
     */
    static boolean canWaitForHeartbeat(KeeperWorld world, KeeperLimits limits, ReservationRow row) {
        return limits.spendingLimited()
                && world.isLogReachable()
                && world.idleTokens(row.budget()) >= row.tokens();
    }

    /** Creates this keeper's heartbeat, which from now on limits what it spends. */
    static LedgerRecord heartbeat(KeeperWorld world, long nowMillis) {
        List<SpendingLimit> spendingLimits =
                world.grantUses()
                        .rows()
                        .map(row -> limitOf(world, row, nowMillis))
                        .sorted((one, other) -> one.budget().compareTo(other.budget()))
                        .toList();
        LedgerRecord.HolderHeartbeat heartbeat =
                new LedgerRecord.HolderHeartbeat(
                        world.self(),
                        world.bootMillis(),
                        nowMillis,
                        ClockAgreement.hasMajority(world, nowMillis),
                        spendingLimits);
        world.spendingLimits().add(heartbeat);
        return heartbeat;
    }

    /**
     * Limits what is spent of a budget without the log, in proportion to what is left of it. If a
     * part of it is frozen, its holders have lost power before and may again, so that the limit
     * rises more slowly.
     */
    private static SpendingLimit limitOf(KeeperWorld world, GrantUseRow row, long nowMillis) {
        Optional<GrantView> view =
                world.ledger()
                        .budgets()
                        .find(row.budget())
                        .map(budget -> GrantSystem.viewOf(world, budget, nowMillis));
        double shareTokens = view.map(GrantView::shareTokens).orElse(0L);
        double caution = Math.min(1, view.map(GrantView::frozenShare).orElse(0.0) / CAUTION_SHARE);
        double maxSharesPerHour =
                SHARES_PER_HOUR + caution * (CAUTIOUS_SHARES_PER_HOUR - SHARES_PER_HOUR);
        double marginTokens =
                Math.min(MARGIN_REQUESTS * row.requestTokens(), shareTokens * MARGIN_SHARE);
        double paceTokensPerHour =
                Math.min(
                        PACE_PER_DEMAND * row.demandTokensPerHourAt(nowMillis),
                        shareTokens * maxSharesPerHour);
        return new SpendingLimit(
                row.budget(),
                world.spentTokens(row.budget())
                        + world.waitingTokens(row.budget())
                        + (long) marginTokens,
                (long) paceTokensPerHour);
    }

    /** Lifts the limits of earlier heartbeats, as this one is now in the log. */
    static void confirm(KeeperWorld world, LedgerRecord.HolderHeartbeat heartbeat) {
        world.spendingLimits().confirm(heartbeat);
        world.waitingReservations()
                .rows()
                .map(ReservationRow::budget)
                .forEach(world.changedBudgets()::add);
    }
}

package org.bramleylatch.core;

import java.util.List;

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

    /** A loss of power freezes no more of what is left of a budget, however little that is. */
    private static final int MARGINS_PER_SHARE = 10;

    /** What is left of a budget lasts for at least 50 s without the log. */
    private static final double MAX_SHARES_PER_HOUR = 72;

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

    private static SpendingLimit limitOf(KeeperWorld world, GrantUseRow row, long nowMillis) {
        long shareTokens =
                world.ledger()
                        .budgets()
                        .find(row.budget())
                        .map(budget -> GrantSystem.viewOf(world, budget, nowMillis).shareTokens())
                        .orElse(0L);
        long marginTokens =
                Math.min(MARGIN_REQUESTS * row.requestTokens(), shareTokens / MARGINS_PER_SHARE);
        double paceTokensPerHour = PACE_PER_DEMAND * row.demandTokensPerHourAt(nowMillis);
        return new SpendingLimit(
                row.budget(),
                world.spentTokens(row.budget()) + world.waitingTokens(row.budget()) + marginTokens,
                Math.round(Math.min(paceTokensPerHour, shareTokens * MAX_SHARES_PER_HOUR)));
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

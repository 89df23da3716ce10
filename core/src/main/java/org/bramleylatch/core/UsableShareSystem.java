package org.bramleylatch.core;

import java.util.List;

/**
 * Decides how much of its grants a keeper may use. While the log answers, it may use only a share,
 * so that a successor can return the rest. Once the log has been unreachable for so long that no
 * successor would assume that the keeper stayed within its share, the keeper may use its whole
 * grants.
 */
record UsableShareSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    static final int WHOLE_PERMILLE = 1_000;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        boolean heartbeatExpired =
                nowMillis >= world.lastHeartbeatMillis() + limits.fullGrantAfterMillis();
        boolean usesFullGrant = world.isLogLost() && heartbeatExpired;
        world.setUsablePermille(usesFullGrant ? WHOLE_PERMILLE : limits.usablePermille());
        world.wholeGrantsWanted().removeIf(budget -> hasAmpleFreeTokens(world, budget));
    }

    /**
     * Returns true if only the rest of this keeper's grant can cover the request, and the log can
     * be told in time that the rest is used. These are the last tokens of a budget.
     */
    static boolean canWaitForWholeGrant(
            KeeperWorld world, KeeperLimits limits, ReservationRow row) {
        return limits.limitsUsableShare()
                && world.isLogReachable()
                && world.idleTokens(row.budget()) >= row.tokens()
                && !ReservationSystem.isCoveredWithFreeTokens(world, row)
                && !world.wholeGrantsConfirmed().contains(row.budget());
    }

    /**
     * Lets the heartbeats name the budget. Once such a heartbeat is in the log, a successor returns
     * nothing of the grant, so that this keeper may use all of it.
     */
    static void wantWholeGrant(KeeperWorld world, BudgetId budget) {
        if (world.wholeGrantsWanted().add(budget)) {
            world.writer().addEmptyBatch();
            world.note(EventKind.WHOLE_GRANT_WANTED, budget, "open=" + world.openTokens(budget));
        }
    }

    /** Allows the use of whole grants that a heartbeat names, which is now in the log. */
    static void confirm(KeeperWorld world, LedgerRecord.HolderHeartbeat heartbeat) {
        heartbeat.beyondShare().stream()
                .filter(world.wholeGrantsWanted()::contains)
                .filter(world.wholeGrantsConfirmed()::add)
                .forEach(world.changedBudgets()::add);
    }

    private static boolean hasAmpleFreeTokens(KeeperWorld world, BudgetId budget) {
        return world.ledger()
                .budgets()
                .find(budget)
                .filter(row -> row.freeTokens() > world.openTokens(budget))
                .isPresent();
    }

    /** Creates this keeper's heartbeat record and stores its time in the world. */
    static LedgerRecord heartbeat(KeeperWorld world, KeeperLimits limits, long nowMillis) {
        List<BudgetId> beyondShare =
                world.grantUses()
                        .rows()
                        .filter(
                                row ->
                                        world.wholeGrantsWanted().contains(row.budget())
                                                || !isWithinShare(
                                                        world, row, limits.usablePermille()))
                        .map(GrantUseRow::budget)
                        .sorted()
                        .toList();
        world.wholeGrantsConfirmed().retainAll(beyondShare);
        world.setLastHeartbeatMillis(nowMillis);
        return new LedgerRecord.HolderHeartbeat(
                world.self(),
                world.bootMillis(),
                nowMillis,
                ClockAgreement.hasMajority(world, nowMillis),
                beyondShare);
    }

    private static boolean isWithinShare(KeeperWorld world, GrantUseRow row, int usablePermille) {
        long keptTokens = world.openTokens(row.budget()) - row.returningTokens();
        long usedTokens = row.committedTokens() - row.returningTokens();
        return usedTokens <= keptTokens * usablePermille / WHOLE_PERMILLE;
    }
}

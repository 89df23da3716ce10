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
    }

    /** Creates this keeper's heartbeat record and stores its time in the world. */
    static LedgerRecord heartbeat(KeeperWorld world, KeeperLimits limits, long nowMillis) {
        List<BudgetId> beyondShare =
                world.grantUses()
                        .rows()
                        .filter(row -> !isWithinShare(world, row, limits.usablePermille()))
                        .map(GrantUseRow::budget)
                        .sorted()
                        .toList();
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

package org.bramleylatch.core;

import java.util.List;

/**
 * Decides how much of its grants a keeper may use. While the log answers it keeps to a share, so
 * that a successor can give back the rest. Once the log has been away for so long that no successor
 * will take it to have been within its share, it may use all.
 */
record UsableShareSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    static final int WHOLE_PERMILLE = 1_000;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        boolean released = nowMillis >= world.stampMillis() + limits.releasedAfterMillis();
        boolean alone = world.isLogLost() && released;
        world.setUsablePermille(alone ? WHOLE_PERMILLE : limits.usablePermille());
    }

    /** Returns what the keeper says of itself at the head of a batch; notes the stamp it gives. */
    static LedgerRecord stamp(KeeperWorld world, KeeperLimits limits, long nowMillis) {
        List<BudgetId> beyond =
                world.holdings()
                        .rows()
                        .filter(row -> !isWithin(world, row, limits.usablePermille()))
                        .map(HoldingRow::budget)
                        .sorted()
                        .toList();
        world.setStampMillis(nowMillis);
        return new LedgerRecord.HolderSeen(
                world.self(),
                world.bootMillis(),
                nowMillis,
                ClockVote.isWon(world, nowMillis),
                beyond);
    }

    private static boolean isWithin(KeeperWorld world, HoldingRow row, int usablePermille) {
        long kept = world.openTokens(row.budget()) - row.returningTokens();
        long used = row.boundTokens() - row.returningTokens();
        return used <= kept * usablePermille / WHOLE_PERMILLE;
    }
}

package org.bramleylatch.core;

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
        boolean within =
                world.holdings()
                        .rows()
                        .allMatch(row -> isWithin(world, row, limits.usablePermille()));
        if (within) {
            world.setStampMillis(nowMillis);
        }
        return new LedgerRecord.HolderSeen(
                world.self(),
                world.bootMillis(),
                within ? nowMillis : 0,
                ClockVote.isWon(world, nowMillis));
    }

    private static boolean isWithin(KeeperWorld world, HoldingRow row, int usablePermille) {
        long kept = world.openTokens(row.budget()) - row.returningTokens();
        long used = row.boundTokens() - row.returningTokens();
        return used <= kept * usablePermille / WHOLE_PERMILLE;
    }
}

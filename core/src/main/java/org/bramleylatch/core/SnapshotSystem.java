package org.bramleylatch.core;

/**
 * Appends a snapshot of the ledger to the log once enough records or enough time have passed since
 * the last one. Each keeper lengthens the interval by its own fixed jitter, so that usually one
 * keeper writes the snapshot and the others restart their interval when they read it.
 */
record SnapshotSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    private static final int JITTER_STEPS = 1_000;

    /** Spreads the keepers, so that few write a snapshot before they read that of the first. */
    private static final double MAX_JITTER = 1.5;

    /** After a longer silence of the log, another keeper may have written a snapshot unnoticed. */
    private static final long MAX_SILENCE_MILLIS = 1_000;

    /** Leaves the snapshots to the holders while there are any. */
    private static final double INACTIVE_FACTOR = 3;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.ledger().nextOffset() == 0) {
            return;
        }
        long dueMillis = world.snapshotMillis() + withJitter(world, limits.snapshotEveryMillis());
        long dueOffset = world.snapshotOffset() + withJitter(world, limits.snapshotEveryRecords());
        boolean isDue = nowMillis >= dueMillis || world.ledger().nextOffset() >= dueOffset;
        boolean isSettled = world.ledger().statements().isSettled();
        if (isLogAnswering(world, nowMillis) && isSettled && isDue && world.snapshotMillis() > 0) {
            takeSnapshot(world, nowMillis);
        } else if (world.snapshotMillis() == 0) {
            // Zero at the start and after a snapshot was read: the interval starts at this tick.
            world.setSnapshotMillis(nowMillis);
        }
        scheduleNext(world, nowMillis);
    }

    private static boolean isLogAnswering(KeeperWorld world, long nowMillis) {
        return world.isLogReachable()
                && nowMillis - world.logAnsweredMillis() <= MAX_SILENCE_MILLIS;
    }

    private static void takeSnapshot(KeeperWorld world, long nowMillis) {
        LedgerSnapshot snapshot = world.ledger().snapshot();
        SnapshotAssembly.split(snapshot).forEach(world::append);
        world.setSnapshotOffset(snapshot.nextOffset());
        world.setSnapshotMillis(nowMillis);
        world.ledger().budgets().rows().forEach(row -> noteBudgetState(world, row));
        world.note(EventKind.SNAPSHOT_TAKEN, world.self(), "nextOffset=" + snapshot.nextOffset());
    }

    private static void noteBudgetState(KeeperWorld world, BudgetRow row) {
        long frozenTokens =
                world.ledger().grantsOf(row.id()).stream()
                        .filter(GrantRow::frozen)
                        .mapToLong(GrantRow::openTokens)
                        .sum();
        world.note(
                EventKind.BUDGET_STATE,
                row.id(),
                "paid="
                        + row.paidTokens()
                        + " settled="
                        + row.settledTokens()
                        + " open="
                        + row.openTokens()
                        + " stranded="
                        + frozenTokens
                        + " offset="
                        + world.ledger().nextOffset());
    }

    private void scheduleNext(KeeperWorld world, long nowMillis) {
        KeeperTimer timer = new KeeperTimer.SnapshotDue();
        long dueMillis = world.snapshotMillis() + withJitter(world, limits.snapshotEveryMillis());
        if (isLogAnswering(world, nowMillis)) {
            world.timers().set(timer, dueMillis);
        } else {
            world.timers().clear(timer);
        }
    }

    private static long withJitter(KeeperWorld world, long interval) {
        double fraction =
                Math.floorMod(world.self().hashCode(), JITTER_STEPS) / (double) JITTER_STEPS;
        double factor = world.isActive() ? 1 : INACTIVE_FACTOR;
        return Math.round(interval * factor * (1 + MAX_JITTER * fraction));
    }
}

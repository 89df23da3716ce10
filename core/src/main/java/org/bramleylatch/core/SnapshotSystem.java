package org.bramleylatch.core;

/**
 * Puts a snapshot of the ledger into the log once enough records or enough time have come since the
 * last one. Keepers take turns by chance: each adds its own distance, and the first spares the
 * others.
 */
record SnapshotSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    private static final int SPREAD_PARTS = 1_000;
    private static final double MOST_SPREAD = 0.25;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.ledger().nextOffset() == 0) {
            return;
        }
        long dueMillis = world.snapshotMillis() + spread(world, limits.snapshotEveryMillis());
        long dueOffset = world.snapshotOffset() + spread(world, limits.snapshotEveryRecords());
        boolean due = nowMillis >= dueMillis || world.ledger().nextOffset() >= dueOffset;
        if (world.isLogReachable() && due && world.snapshotMillis() > 0) {
            take(world, nowMillis);
        } else if (world.snapshotMillis() == 0) {
            world.setSnapshotMillis(nowMillis);
        }
        arm(world);
    }

    private static void take(KeeperWorld world, long nowMillis) {
        LedgerImage image = world.ledger().image();
        SnapshotAssembly.split(image).forEach(world::append);
        world.setSnapshotOffset(image.nextOffset());
        world.setSnapshotMillis(nowMillis);
        world.ledger().budgets().rows().forEach(row -> state(world, row));
        world.note(EventKind.SNAPSHOT_TAKEN, world.self(), "nextOffset=" + image.nextOffset());
    }

    private static void state(KeeperWorld world, BudgetRow row) {
        long frozen =
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
                        + frozen
                        + " offset="
                        + world.ledger().nextOffset());
    }

    private void arm(KeeperWorld world) {
        KeeperTimer timer = new KeeperTimer.SnapshotDue();
        long dueMillis = world.snapshotMillis() + spread(world, limits.snapshotEveryMillis());
        if (world.isLogReachable()) {
            world.timers().set(timer, dueMillis);
        } else {
            world.timers().clear(timer);
        }
    }

    private static long spread(KeeperWorld world, long distance) {
        double part = Math.floorMod(world.self().hashCode(), SPREAD_PARTS) / (double) SPREAD_PARTS;
        return distance + Math.round(distance * MOST_SPREAD * part);
    }
}

package org.bramleylatch.core;

/**
 * Puts a snapshot of the ledger into the log once enough records have come since the last one.
 * Keepers take turns by chance: each adds its own distance, and the first spares the others.
 */
record SnapshotSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        long due = world.snapshotOffset() + limits.snapshotEveryRecords() + distance(world);
        if (world.isLogReachable() && world.ledger().nextOffset() >= due) {
            take(world);
        }
    }

    private static void take(KeeperWorld world) {
        LedgerImage image = world.ledger().image();
        SnapshotAssembly.split(image).forEach(world::append);
        world.setSnapshotOffset(image.nextOffset());
        world.note(EventKind.SNAPSHOT_TAKEN, world.self(), "nextOffset=" + image.nextOffset());
    }

    private long distance(KeeperWorld world) {
        int spread = Math.max(1, limits.snapshotEveryRecords() / 4);
        return Math.floorMod(world.self().hashCode(), spread);
    }
}

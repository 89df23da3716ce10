package org.bramleylatch.core;

/**
 * Tells whether this process's time of day can be trusted: it can while most of the fleet's VMs
 * write records whose time agrees with it. A time of day that jumps on fewer than half of the VMs
 * is outvoted.
 */
final class ClockVote {
    /** Above the few tens of milliseconds in which a record reaches its readers. */
    static final long TOLERANCE_MILLIS = 250;

    /** A keeper in use appends several times in this. */
    private static final long FRESH_MILLIS = 3_000;

    /** A VM that has been silent for longer is no longer counted as part of the fleet. */
    private static final long MEMBER_MILLIS = 60_000;

    /** Fewer clocks than this outvote nobody. */
    private static final long FEWEST = 3;

    private ClockVote() {}

    /**
     * Compares the clocks when a holder's word was read. What was written before this process had
     * caught up may be old, and is no evidence.
     */
    static void see(KeeperWorld world, LogEntry entry, long nowMillis) {
        boolean live = world.isCaughtUp() && !entry.writer().equals(world.self());
        if (live && entry.record() instanceof LedgerRecord.HolderSeen) {
            String vm = entry.writer().place();
            long aheadMillis = nowMillis - entry.timeMillis();
            world.clocks().put(vm, new ClockRow(vm, aheadMillis, nowMillis));
        }
    }

    /** Returns true if more than half of the VMs, this one among them, agree on the time. */
    static boolean isWon(KeeperWorld world, long nowMillis) {
        long agreeing =
                1
                        + world.clocks()
                                .rows()
                                .filter(row -> !row.vm().equals(world.self().place()))
                                .filter(
                                        row ->
                                                row.agrees(
                                                        nowMillis, FRESH_MILLIS, TOLERANCE_MILLIS))
                                .count();
        return agreeing >= Math.max(FEWEST, members(world) / 2 + 1);
    }

    private static long members(KeeperWorld world) {
        long oldestMillis = world.ledger().logMillis() - MEMBER_MILLIS;
        return world.ledger()
                .writers()
                .rows()
                .filter(row -> row.lastMillis() >= oldestMillis)
                .map(row -> row.writer().place())
                .filter(place -> !place.isEmpty())
                .distinct()
                .count();
    }
}

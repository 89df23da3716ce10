package org.bramleylatch.core;

/**
 * Decides whether this process's time of day can be trusted: it can while a majority of the fleet's
 * VMs write records whose timestamps agree with it. A clock jump on fewer than half of the VMs is
 * therefore detected.
 */
final class ClockAgreement {
    /**
     * Well above the few tens of milliseconds that a record takes to reach its readers, which the
     * offset includes.
     */
    static final long TOLERANCE_MILLIS = 250;

    /** A keeper under load appends several times within this period. */
    private static final long MAX_OFFSET_AGE_MILLIS = 3_000;

    /** A VM that has written nothing for longer no longer counts as part of the fleet. */
    private static final long VM_TIMEOUT_MILLIS = 60_000;

    /**
     * Fewer agreeing clocks, including this one, do not count as a majority even in a small fleet.
     */
    private static final long MIN_AGREEING_CLOCKS = 3;

    private ClockAgreement() {}

    /**
     * Records the clock offset of a process whose heartbeat was read. Entries read before this
     * process caught up with the log are ignored, because they may have been written long ago.
     */
    static void recordOffset(KeeperWorld world, LogEntry entry, long nowMillis) {
        boolean isLive =
                world.isCaughtUp()
                        && world.transition().isEmpty()
                        && !entry.writer().equals(world.self());
        if (isLive && entry.record() instanceof LedgerRecord.HolderHeartbeat) {
            String stableName = entry.writer().stableName();
            long offsetMillis = nowMillis - entry.timeMillis();
            world.clockOffsets()
                    .put(stableName, new ClockOffsetRow(stableName, offsetMillis, nowMillis));
        }
    }

    /** Returns true if more than half of the VMs, including this one, agree on the time. */
    static boolean hasMajority(KeeperWorld world, long nowMillis) {
        long agreeingClocks =
                1
                        + world.clockOffsets()
                                .rows()
                                .filter(row -> !row.stableName().equals(world.self().stableName()))
                                .filter(
                                        row ->
                                                row.agrees(
                                                        nowMillis,
                                                        MAX_OFFSET_AGE_MILLIS,
                                                        TOLERANCE_MILLIS))
                                .count();
        return agreeingClocks >= Math.max(MIN_AGREEING_CLOCKS, countVms(world) / 2 + 1);
    }

    private static long countVms(KeeperWorld world) {
        long oldestMillis = world.ledger().logMillis() - VM_TIMEOUT_MILLIS;
        return world.ledger()
                .writers()
                .rows()
                .filter(row -> row.lastMillis() >= oldestMillis)
                .map(row -> row.writer().stableName())
                .filter(name -> !name.isEmpty())
                .distinct()
                .count();
    }
}

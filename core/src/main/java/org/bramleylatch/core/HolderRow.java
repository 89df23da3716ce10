package org.bramleylatch.core;

import java.util.List;

/**
 * Holds the last heartbeat of a holder of grants. From it, a successor on the same VM decides
 * whether the holder may have used more than the usable share of its grants.
 *
 * @param holder the process
 * @param bootMillis the time of day at which the monotonic clock of its VM was zero, by the
 *     holder's clock, in milliseconds since the epoch
 * @param stampMillis the time of the heartbeat, by the same clock
 * @param clockAgreed true if most of the fleet's clocks agreed with the holder's at that time
 * @param beyondShare the budgets for which it had committed more than the usable share of its grant
 * @param succeeded true once a successor returned the tokens that the holder cannot have used
 */
public record HolderRow(
        Incarnation holder,
        long bootMillis,
        long stampMillis,
        boolean clockAgreed,
        List<BudgetId> beyondShare,
        boolean succeeded) {
    /** Two readings of one boot time differ by less, unless the time of day was set in between. */
    private static final long BOOT_TIME_TOLERANCE_MILLIS = 200;

    /** Copies the list. */
    public HolderRow {
        beyondShare = List.copyOf(beyondShare);
    }

    /** Returns the row for a heartbeat. */
    static HolderRow of(LedgerRecord.HolderHeartbeat heartbeat) {
        return new HolderRow(
                heartbeat.holder(),
                heartbeat.bootMillis(),
                heartbeat.heartbeatMillis(),
                heartbeat.clockAgreed(),
                heartbeat.beyondShare(),
                false);
    }

    /** Returns the row after a successor took over the grants. */
    HolderRow withSuccessor() {
        return new HolderRow(holder, bootMillis, stampMillis, clockAgreed, beyondShare, true);
    }

    /**
     * Returns true if the holder, which is known to have stopped, did so within the given time of
     * its heartbeat. Both times of day follow the monotonic clock of one VM. If the VM was
     * restarted or the time of day was set in between, this proves nothing, and the result is
     * false.
     *
     * @param startMillis when the successor started, by its own clock
     * @param successorBootMillis the successor's reading of the time at which the monotonic clock
     *     was zero
     */
    boolean endedWithinByMonotonicClock(
            long limitMillis, long startMillis, long successorBootMillis) {
        boolean sameBoot = Math.abs(bootMillis - successorBootMillis) <= BOOT_TIME_TOLERANCE_MILLIS;
        long sinceHeartbeatMillis = startMillis - stampMillis;
        return sameBoot
                && sinceHeartbeatMillis >= 0
                && sinceHeartbeatMillis + BOOT_TIME_TOLERANCE_MILLIS < limitMillis;
    }

    /**
     * Returns true if the holder, which is known to have stopped, did so within the given time of
     * its heartbeat, by clocks that most of the fleet agreed with: the holder's at its heartbeat,
     * the successor's now.
     *
     * @param startMillis when the successor started, by its own clock
     * @param toleranceMillis by how much each of the two clocks may be wrong
     */
    boolean endedWithinByFleetClock(long limitMillis, long startMillis, long toleranceMillis) {
        long sinceHeartbeatMillis = startMillis - stampMillis;
        return clockAgreed
                && sinceHeartbeatMillis >= -2 * toleranceMillis
                && sinceHeartbeatMillis + 2 * toleranceMillis < limitMillis;
    }
}

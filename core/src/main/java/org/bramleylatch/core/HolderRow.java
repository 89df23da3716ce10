package org.bramleylatch.core;

import java.util.List;
import java.util.OptionalLong;

/**
 * Holds the last heartbeat of a holder of grants. From it, a successor on the same VM knows when
 * the holder had ended at the latest, and what it had spent by then at most.
 *
 * @param holder the process
 * @param bootMillis the time of day at which the monotonic clock of its VM was zero, by the
 *     holder's clock, in milliseconds since the epoch
 * @param stampMillis the time of the heartbeat, by the same clock
 * @param clockAgreed true if most of the fleet's clocks agreed with the holder's at that time
 * @param limits what it may spend at most of each of its grants
 * @param succeeded true once a successor returned the tokens that the holder cannot have used
 * @param lostSpan true if the log lost newer records, among them perhaps later heartbeats
 */
public record HolderRow(
        Incarnation holder,
        long bootMillis,
        long stampMillis,
        boolean clockAgreed,
        List<SpendingLimit> limits,
        boolean succeeded,
        boolean lostSpan) {
    /** Two readings of one boot time differ by less, unless the time of day was set in between. */
    private static final long BOOT_TIME_TOLERANCE_MILLIS = 200;

    /** Copies the list. */
    public HolderRow {
        limits = List.copyOf(limits);
    }

    /** Returns the row for a heartbeat. */
    static HolderRow of(LedgerRecord.HolderHeartbeat heartbeat) {
        return new HolderRow(
                heartbeat.holder(),
                heartbeat.bootMillis(),
                heartbeat.heartbeatMillis(),
                heartbeat.clockAgreed(),
                heartbeat.limits(),
                false,
                false);
    }

    /** Returns the row after a successor took over the grants. */
    HolderRow withSuccessor() {
        return new HolderRow(holder, bootMillis, stampMillis, clockAgreed, limits, true, lostSpan);
    }

    /** Returns the row with or without the doubt whether the log lost later heartbeats. */
    HolderRow withLostSpan(boolean isInDoubt) {
        return new HolderRow(
                holder, bootMillis, stampMillis, clockAgreed, limits, succeeded, isInDoubt);
    }

    /**
     * Returns the latest time at which the holder can have ended, which is known to have ended
     * before its successor started. Both times of day follow the monotonic clock of one VM. If the
     * VM was restarted or the time of day was set in between, this proves nothing, and the result
     * is empty.
     *
     * @param startMillis when the successor started, by its own clock
     * @param successorBootMillis the successor's reading of the time at which the monotonic clock
     *     was zero
     */
    OptionalLong endByMonotonicClock(long startMillis, long successorBootMillis) {
        boolean sameBoot = Math.abs(bootMillis - successorBootMillis) <= BOOT_TIME_TOLERANCE_MILLIS;
        return sameBoot && startMillis >= stampMillis
                ? OptionalLong.of(startMillis + BOOT_TIME_TOLERANCE_MILLIS)
                : OptionalLong.empty();
    }

    /**
     * Returns the latest time at which the holder can have ended, by clocks that most of the fleet
     * agreed with: the holder's at its heartbeat, the successor's now. Empty if they prove nothing.
     *
     * @param startMillis when the successor started, by its own clock
     * @param toleranceMillis by how much each of the two clocks may be wrong
     */
    OptionalLong endByFleetClock(long startMillis, long toleranceMillis) {
        long endMillis = startMillis + 2 * toleranceMillis;
        return clockAgreed && endMillis >= stampMillis
                ? OptionalLong.of(endMillis)
                : OptionalLong.empty();
    }

    /**
     * Returns what the holder may have spent at most of its grant of the budget.
     *
     * @param endMillis when the holder had ended at the latest, by the clock of its heartbeats
     */
    long spentTokensAt(BudgetId budget, long endMillis) {
        return SpendingLimit.tokensAfter(limits, budget, endMillis - stampMillis);
    }
}

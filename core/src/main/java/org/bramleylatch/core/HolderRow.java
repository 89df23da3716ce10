package org.bramleylatch.core;

import java.util.List;

/**
 * Is what a holder of grants last said of itself, so that its successor on the same VM can tell
 * whether it may have used more than its usable share.
 *
 * @param holder the process
 * @param bootMillis the time of day at which the steady clock of its VM was zero, by its own clock
 * @param stampMillis when it said so, by its own clock
 * @param clockAgreed true if most of the fleet's clocks agreed with its own then
 * @param beyondShare the budgets of whose grants it had bound more than its usable share
 * @param succeeded true once a successor took back what it can't have used
 */
public record HolderRow(
        Incarnation holder,
        long bootMillis,
        long stampMillis,
        boolean clockAgreed,
        List<BudgetId> beyondShare,
        boolean succeeded) {
    /** Two readings of one boot differ by less, unless the time of day was set in between. */
    private static final long SAME_BOOT_MILLIS = 200;

    /** Copies the list. */
    public HolderRow {
        beyondShare = List.copyOf(beyondShare);
    }

    /** Returns the row of a holder that was heard of. */
    static HolderRow of(LedgerRecord.HolderSeen seen) {
        return new HolderRow(
                seen.holder(),
                seen.bootMillis(),
                seen.stampMillis(),
                seen.clockAgreed(),
                seen.beyondShare(),
                false);
    }

    /** Returns the row after a successor took over. */
    HolderRow succeed() {
        return new HolderRow(holder, bootMillis, stampMillis, clockAgreed, beyondShare, true);
    }

    /**
     * Returns true if the holder, which is known to be gone, ended within the given time of its
     * stamp. Both clocks follow the steady clock of one VM; where that was restarted or the time of
     * day was set, this proves nothing.
     *
     * @param startMillis when the successor began, by its own clock
     * @param successorBootMillis the successor's reading of when the steady clock was zero
     */
    boolean endedWithin(long spanMillis, long startMillis, long successorBootMillis) {
        boolean sameBoot = Math.abs(bootMillis - successorBootMillis) <= SAME_BOOT_MILLIS;
        long sinceMillis = startMillis - stampMillis;
        return sameBoot && sinceMillis >= 0 && sinceMillis + SAME_BOOT_MILLIS < spanMillis;
    }

    /**
     * Returns true if the holder, which is known to be gone, ended within the given time of its
     * stamp, by clocks that most of the fleet agreed with: the holder's then, the successor's now.
     *
     * @param toleranceMillis by how much each of the two may be wrong
     */
    boolean endedWithinByVote(long spanMillis, long startMillis, long toleranceMillis) {
        long sinceMillis = startMillis - stampMillis;
        return clockAgreed
                && sinceMillis >= -2 * toleranceMillis
                && sinceMillis + 2 * toleranceMillis < spanMillis;
    }
}

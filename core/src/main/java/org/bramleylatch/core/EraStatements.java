package org.bramleylatch.core;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks which holders have stated their grants in the log's current era. An era begins with the
 * first statement, after the log came back from a copy and lost its newest records. It is settled
 * once every VM that may hold grants has stated, or was not heard from for so long that its keeper
 * is taken to have ended.
 */
final class EraStatements {
    /** Lets VMs state that began to write in the lost records, so that the copy lacks them. */
    private static final long MIN_WAIT_MILLIS = 1_000;

    /** Longer than most network partitions, shorter than logs keep the last snapshot. */
    private static final long MAX_WAIT_MILLIS = 15_000;

    private final Set<String> awaitedVms = new TreeSet<>();
    private final Set<String> vmsThatStated = new HashSet<>();
    private final Set<Incarnation> holdersThatStated = new HashSet<>();
    private final Table<GrantKey, GrantRow> statedGrants = Table.empty();
    private final Table<BudgetId, Long> statedArchivedTokens = Table.empty();
    private long era;
    private long beginMillis;
    private boolean settled = true;
    private LogPosition farthestRead = new LogPosition(0, 0);

    /** Returns the era of the newest statement; 0 before the first. */
    long era() {
        return era;
    }

    void setEra(long newEra) {
        era = newEra;
    }

    /** Returns true unless statements are awaited; free tokens are not granted until then. */
    boolean isSettled() {
        return settled;
    }

    boolean isAwaited(Incarnation holder) {
        return awaitedVms.contains(holder.stableName());
    }

    /** Contains each grant as the copy had it, or as it was stated last. */
    Table<GrantKey, GrantRow> statedGrants() {
        return statedGrants;
    }

    /**
     * Contains the tokens that were billed against grants which no longer exist, by budget, as the
     * copy had them or as they were stated last.
     */
    Table<BudgetId, Long> statedArchivedTokens() {
        return statedArchivedTokens;
    }

    /**
     * Begins an era.
     *
     * @param copied up to where the copy has the log of the era before
     */
    void begin(long newEra, LogPosition copied, Set<String> vms, long nowMillis) {
        era = newEra;
        beginMillis = nowMillis;
        farthestRead = copied;
        holdersThatStated.clear();
        statedGrants.removeIf(row -> true);
        statedArchivedTokens.removeIf(tokens -> true);
        vmsThatStated.clear();
        awaitedVms.clear();
        awaitedVms.addAll(vms);
        settled = false;
    }

    /** Lets the era wait for the holder's VM, unless it has stated. */
    void await(Incarnation holder) {
        if (!vmsThatStated.contains(holder.stableName())) {
            awaitedVms.add(holder.stableName());
        }
    }

    void markStated(Incarnation holder) {
        holdersThatStated.add(holder);
        vmsThatStated.add(holder.stableName());
        awaitedVms.remove(holder.stableName());
    }

    boolean hasStated(Incarnation holder) {
        return holdersThatStated.contains(holder);
    }

    /** Returns true, and keeps the position, if no statement before had read so far. */
    boolean isFarthest(LogPosition read) {
        boolean isFarther = read.compareTo(farthestRead) > 0;
        farthestRead = isFarther ? read : farthestRead;
        return isFarther;
    }

    /** Settles the era if nobody is awaited any longer; returns true if that settles it. */
    boolean settle(long nowMillis) {
        long waitedMillis = nowMillis - beginMillis;
        boolean isComplete = awaitedVms.isEmpty() && waitedMillis >= MIN_WAIT_MILLIS;
        boolean isSettling = !settled && (isComplete || waitedMillis >= MAX_WAIT_MILLIS);
        settled |= isSettling;
        return isSettling;
    }
}

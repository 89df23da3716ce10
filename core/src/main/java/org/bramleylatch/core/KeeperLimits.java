package org.bramleylatch.core;

/**
 * Bounds what a keeper does.
 *
 * @param reserveWaitMillis how long a request may wait for tokens
 * @param intentWaitMillis how long a request may wait for its claim to be read back
 * @param appendIntervalMillis the least time between two appends
 * @param appendRetryMillis how long to wait after an append whose answer is unknown
 * @param retryGraceMillis how long the caller of a lost router may take to retry
 * @param orphanRetryMillis how long to wait before an endpoint is asked again
 * @param reviewMillis how often every holding is looked at
 * @param mostRecords the most records in one append
 * @param snapshotEveryRecords how many records lie between two snapshots at the most
 * @param snapshotEveryMillis how much time lies between two snapshots at the most
 */
public record KeeperLimits(
        long reserveWaitMillis,
        long intentWaitMillis,
        long appendIntervalMillis,
        long appendRetryMillis,
        long retryGraceMillis,
        long orphanRetryMillis,
        long reviewMillis,
        int mostRecords,
        int snapshotEveryRecords,
        long snapshotEveryMillis) {

    /** Returns the limits for the sizes of today. */
    public static KeeperLimits standard() {
        return new KeeperLimits(1_500, 2_000, 50, 250, 30_000, 1_000, 5_000, 500, 20_000, 600_000);
    }

    /** Returns the limits with another distance between snapshots. */
    public KeeperLimits withSnapshotEvery(int records) {
        return new KeeperLimits(
                reserveWaitMillis,
                intentWaitMillis,
                appendIntervalMillis,
                appendRetryMillis,
                retryGraceMillis,
                orphanRetryMillis,
                reviewMillis,
                mostRecords,
                records,
                snapshotEveryMillis);
    }

    /** Returns the limits with another time for callers to retry, in milliseconds. */
    public KeeperLimits withRetryGrace(long millis) {
        return new KeeperLimits(
                reserveWaitMillis,
                intentWaitMillis,
                appendIntervalMillis,
                appendRetryMillis,
                millis,
                orphanRetryMillis,
                reviewMillis,
                mostRecords,
                snapshotEveryRecords,
                snapshotEveryMillis);
    }
}

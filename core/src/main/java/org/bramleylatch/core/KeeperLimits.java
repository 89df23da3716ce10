package org.bramleylatch.core;

/**
 * Bounds what a keeper does.
 *
 * @param reserveWaitMillis how long a request may wait for tokens
 * @param intentWaitMillis how long a request may wait for its claim to be read back
 * @param appendIntervalMillis the least time between two appends
 * @param urgentIntervalMillis the least time between two appends when a request waits for one
 * @param appendRetryMillis how long to wait after an append whose answer is unknown
 * @param retryGraceMillis how long the caller of a lost router may take to retry
 * @param orphanRetryMillis how long to wait before an endpoint is asked again
 * @param reviewMillis how often every holding is looked at
 * @param mostRecords the most records in one append
 * @param snapshotEveryRecords how many records lie between two snapshots at the most
 * @param demandHalfLifeMillis how fast the forecast of a budget's demand forgets
 * @param usablePermille the share of a grant that may be used while the log answers, in thousandths
 * @param releasedAfterMillis how long after its last stamp a keeper without the log may use all
 * @param waitsForLog true if a request that lacks tokens waits also while the log is away
 * @param usageSummed true if usage is billed in sums, where no other process bills it too
 * @param snapshotEveryMillis how much time lies between two snapshots at the most
 */
public record KeeperLimits(
        long reserveWaitMillis,
        long intentWaitMillis,
        long appendIntervalMillis,
        long urgentIntervalMillis,
        long appendRetryMillis,
        long retryGraceMillis,
        long orphanRetryMillis,
        long reviewMillis,
        int mostRecords,
        int snapshotEveryRecords,
        long snapshotEveryMillis,
        long demandHalfLifeMillis,
        int usablePermille,
        long releasedAfterMillis,
        boolean waitsForLog,
        boolean usageSummed) {
    private static final long DEMAND_HALF_LIFE_MILLIS = 10 * 60 * 1_000L;

    /** Two rounds of an ask through the log; later a target of 300 ms can hardly be met. */
    private static final long RESERVE_WAIT_MILLIS = 180;

    private static final long INTENT_WAIT_MILLIS = 2_000;

    /** Below the 1.5 s after which an ended request should no longer bind its worst case. */
    private static final long SETTLE_EVERY_MILLIS = 600;

    /** A few round trips to the log, so that requests that wait together ask together. */
    private static final long URGENT_MILLIS = 20;

    /** Above the answer time of a log that is fifty times as slow as usual. */
    private static final long APPEND_RETRY_MILLIS = 1_000;

    /** A router that was cut off still bills what its requests used, if it is back by then. */
    private static final long ORPHAN_GRACE_MILLIS = 10_000;

    /** Half of a grant of 9 s lasts for longer than RELEASED_AFTER_MILLIS. */
    private static final int USABLE_PERMILLE = 500;

    /** Above the time in which a VM that lost power runs again, with the age of the last stamp. */
    private static final long RELEASED_AFTER_MILLIS = 4_000;

    private static final long ORPHAN_RETRY_MILLIS = 1_000;
    private static final long REVIEW_MILLIS = 1_000;
    private static final int MOST_RECORDS = 500;
    private static final int SNAPSHOT_EVERY_RECORDS = 20_000;

    /** A restarted process reads what came since, which keeps its callers waiting. */
    private static final long SNAPSHOT_EVERY_MILLIS = 2_000;

    /** A reader that missed one snapshot still finds the next. */
    private static final long SNAPSHOTS_KEPT = 4;

    /** Follows a burst within seconds, as grants last for seconds. */
    private static final long FORECAST_HALF_LIFE_MILLIS = 3_000;

    /** Returns the limits for the sizes of today. */
    public static KeeperLimits standard() {
        return new KeeperLimits(
                1_500,
                2_000,
                50,
                50,
                250,
                30_000,
                1_000,
                5_000,
                500,
                20_000,
                600_000,
                DEMAND_HALF_LIFE_MILLIS,
                UsableShareSystem.WHOLE_PERMILLE,
                0,
                true,
                false);
    }

    /** Returns the limits with another distance between snapshots. */
    public KeeperLimits withSnapshotEvery(int records) {
        return with(retryGraceMillis, records);
    }

    /** Returns the limits with another time for callers to retry, in milliseconds. */
    public KeeperLimits withRetryGrace(long millis) {
        return with(millis, snapshotEveryRecords);
    }

    /** Returns true if a keeper keeps to a share of its grants and says so in its batches. */
    boolean keepsToShare() {
        return usablePermille < UsableShareSystem.WHOLE_PERMILLE;
    }

    private KeeperLimits with(long graceMillis, int snapshotRecords) {
        return new KeeperLimits(
                reserveWaitMillis,
                intentWaitMillis,
                appendIntervalMillis,
                urgentIntervalMillis,
                appendRetryMillis,
                graceMillis,
                orphanRetryMillis,
                reviewMillis,
                mostRecords,
                snapshotRecords,
                snapshotEveryMillis,
                demandHalfLifeMillis,
                usablePermille,
                releasedAfterMillis,
                waitsForLog,
                usageSummed);
    }

    /**
     * Returns the limits of a keeper that shares its process with the only router it serves.
     *
     * @param keepMillis how long the log keeps its records
     */
    public static KeeperLimits besideRouter(long keepMillis) {
        return new KeeperLimits(
                RESERVE_WAIT_MILLIS,
                INTENT_WAIT_MILLIS,
                SETTLE_EVERY_MILLIS,
                URGENT_MILLIS,
                APPEND_RETRY_MILLIS,
                ORPHAN_GRACE_MILLIS,
                ORPHAN_RETRY_MILLIS,
                REVIEW_MILLIS,
                MOST_RECORDS,
                SNAPSHOT_EVERY_RECORDS,
                Math.min(SNAPSHOT_EVERY_MILLIS, keepMillis / SNAPSHOTS_KEPT),
                FORECAST_HALF_LIFE_MILLIS,
                USABLE_PERMILLE,
                RELEASED_AFTER_MILLIS,
                false,
                true);
    }
}

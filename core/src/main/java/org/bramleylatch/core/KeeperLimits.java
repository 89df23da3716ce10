package org.bramleylatch.core;

/**
 * Holds the timeouts, intervals and sizes that a keeper works with.
 *
 * @param reserveWaitMillis how long a request may wait for tokens
 * @param intentWaitMillis how long a request may wait for its claim to be read back
 * @param appendIntervalMillis the minimum time between two appends
 * @param urgentIntervalMillis the minimum time between two appends while a request waits for one
 * @param appendRetryMillis how long to wait for the answer to an append before it is repeated
 * @param retryGraceMillis how long the caller of a lost router may take to retry
 * @param orphanRetryMillis how long to wait before an endpoint is asked again how many tokens were
 *     used
 * @param reviewIntervalMillis how often the grants that the keeper uses are checked against the
 *     policy
 * @param maxBatchRecords the maximum number of records in one append; a part of a snapshot counts
 *     as 100 records
 * @param snapshotEveryRecords the number of records after which a snapshot is due; each keeper adds
 *     up to one and a half times as many
 * @param snapshotEveryMillis the time after which a snapshot is due; each keeper adds up to as much
 * @param demandHalfLifeMillis the half-life of past demand in the forecast of a budget's demand
 * @param spendingLimited true if heartbeats limit what the keeper spends; false if its grants alone
 *     do
 * @param waitsWhileLogUnreachable true if a request that lacks tokens waits even while the log is
 *     unreachable
 * @param usageSummed true if usage is billed in sums without request keys, which is safe only if no
 *     other process bills the same usage
 */
public record KeeperLimits(
        long reserveWaitMillis,
        long intentWaitMillis,
        long appendIntervalMillis,
        long urgentIntervalMillis,
        long appendRetryMillis,
        long retryGraceMillis,
        long orphanRetryMillis,
        long reviewIntervalMillis,
        int maxBatchRecords,
        int snapshotEveryRecords,
        long snapshotEveryMillis,
        long demandHalfLifeMillis,
        boolean spendingLimited,
        boolean waitsWhileLogUnreachable,
        boolean usageSummed) {
    private static final long STANDALONE_DEMAND_HALF_LIFE_MILLIS = 10 * 60 * 1_000L;

    /** Three round trips through a busy log; a late answer is worth more to callers than none. */
    private static final long RESERVE_WAIT_MILLIS = 300;

    private static final long INTENT_WAIT_MILLIS = 2_000;

    /** Less than the 1.5 s within which a finished request should have freed its unused tokens. */
    private static final long APPEND_INTERVAL_MILLIS = 600;

    /** A few round trips to the log, so that requests that wait together share one append. */
    private static final long URGENT_INTERVAL_MILLIS = 20;

    /** Longer than a log that is fifty times as slow as usual takes to answer. */
    private static final long APPEND_RETRY_MILLIS = 1_000;

    /** A router that reconnects within this time still reports the usage of its requests itself. */
    private static final long RETRY_GRACE_MILLIS = 10_000;

    private static final long ORPHAN_RETRY_MILLIS = 1_000;
    private static final long REVIEW_INTERVAL_MILLIS = 1_000;
    private static final int MAX_BATCH_RECORDS = 500;
    private static final int SNAPSHOT_EVERY_RECORDS = 20_000;

    /** Callers of a restarted process wait while it reads the records after the last snapshot. */
    private static final long SNAPSHOT_EVERY_MILLIS = 2_000;

    /** Several, so that a reader that missed one snapshot still finds the next in the log. */
    private static final long SNAPSHOTS_PER_RETENTION = 4;

    /** Short, because grants last for seconds and must follow a burst within seconds. */
    private static final long DEMAND_HALF_LIFE_MILLIS = 3_000;

    /** Returns the limits of a process without a router, sized for the current fleet. */
    public static KeeperLimits standalone() {
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
                STANDALONE_DEMAND_HALF_LIFE_MILLIS,
                false,
                true,
                false);
    }

    /** Returns a copy with another number of records between snapshots. */
    public KeeperLimits withSnapshotEveryRecords(int records) {
        return with(retryGraceMillis, records);
    }

    /** Returns a copy with another grace time for callers of a lost router to retry, in ms. */
    public KeeperLimits withRetryGraceMillis(long millis) {
        return with(millis, snapshotEveryRecords);
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
                reviewIntervalMillis,
                maxBatchRecords,
                snapshotRecords,
                snapshotEveryMillis,
                demandHalfLifeMillis,
                spendingLimited,
                waitsWhileLogUnreachable,
                usageSummed);
    }

    /**
     * Returns the limits of a keeper in the process of the router that it serves.
     *
     * @param retentionMillis how long the log keeps its records
     */
    public static KeeperLimits colocatedWithRouter(long retentionMillis) {
        return new KeeperLimits(
                RESERVE_WAIT_MILLIS,
                INTENT_WAIT_MILLIS,
                APPEND_INTERVAL_MILLIS,
                URGENT_INTERVAL_MILLIS,
                APPEND_RETRY_MILLIS,
                RETRY_GRACE_MILLIS,
                ORPHAN_RETRY_MILLIS,
                REVIEW_INTERVAL_MILLIS,
                MAX_BATCH_RECORDS,
                SNAPSHOT_EVERY_RECORDS,
                Math.min(SNAPSHOT_EVERY_MILLIS, retentionMillis / SNAPSHOTS_PER_RETENTION),
                DEMAND_HALF_LIFE_MILLIS,
                true,
                false,
                true);
    }
}

package org.bramleylatch.core;

/**
 * Bounds what a router does.
 *
 * @param mostEndpoints the most endpoints of one back end and version that a router uses
 * @param mostOpen the most requests that may be on their way, slow readers included
 * @param mostQueued the most requests that may wait for an endpoint
 * @param mostAttempts the most attempts of one request
 * @param reserveMillis how long to wait for a keeper's answer
 * @param firstTokenMillis how long an endpoint may be silent before its first token
 * @param stallMillis how long an endpoint may be silent after that
 * @param holdMillis how long the end of an answer may wait for a keeper to hold its usage
 * @param pausedMillis how long a paused attempt may keep its place at the endpoint
 * @param moveReportMillis how long to gather what was seen of moves before it is reported
 * @param registrySettleMillis how long after its return the registry may still miss live endpoints
 * @param lendMillis how long to wait for the keeper of another router
 * @param retryWindowMillis over which retries are counted
 * @param retryBurst how many retries a back end may have in a window beyond what its requests earn,
 *     among all routers
 * @param retryPermille how many retries a route may add to its requests, in thousandths
 */
public record RouterLimits(
        int mostEndpoints,
        int mostOpen,
        int mostQueued,
        int mostAttempts,
        long reserveMillis,
        long firstTokenMillis,
        long stallMillis,
        long holdMillis,
        long pausedMillis,
        int retryPermille,
        long moveReportMillis,
        int retryBurst,
        long registrySettleMillis,
        long lendMillis,
        long retryWindowMillis) {
    private static final long RETRY_WINDOW_MILLIS = 10_000;

    /** A few round trips between zones, so that a keeper behind a partition is passed over. */
    private static final long LEND_MILLIS = 60;

    /** Returns the limits for the sizes of today. */
    public static RouterLimits standard() {
        return new RouterLimits(
                24,
                2_500,
                500,
                3,
                2_500,
                10_000,
                5_000,
                500,
                2_000,
                100,
                250,
                20,
                0,
                LEND_MILLIS,
                RETRY_WINDOW_MILLIS);
    }

    /** Returns the limits with another allowance of retries for each back end. */
    public RouterLimits withRetries(int burst, int permille, long windowMillis) {
        return new RouterLimits(
                mostEndpoints,
                mostOpen,
                mostQueued,
                mostAttempts,
                reserveMillis,
                firstTokenMillis,
                stallMillis,
                holdMillis,
                pausedMillis,
                permille,
                moveReportMillis,
                burst,
                registrySettleMillis,
                lendMillis,
                windowMillis);
    }

    /**
     * Returns the limits for a registry in which endpoints lapse while it is away.
     *
     * @param endpoints the most endpoints of one back end and version that a router uses
     * @param settleMillis how long after its return it may still miss live endpoints
     */
    public RouterLimits withRegistry(int endpoints, long settleMillis) {
        return new RouterLimits(
                endpoints,
                mostOpen,
                mostQueued,
                mostAttempts,
                reserveMillis,
                firstTokenMillis,
                stallMillis,
                holdMillis,
                pausedMillis,
                retryPermille,
                moveReportMillis,
                retryBurst,
                settleMillis,
                lendMillis,
                retryWindowMillis);
    }

    /** Returns the limits with another bound on the silence of an endpoint. */
    public RouterLimits withSilence(long beforeFirstMillis, long betweenMillis) {
        return new RouterLimits(
                mostEndpoints,
                mostOpen,
                mostQueued,
                mostAttempts,
                reserveMillis,
                beforeFirstMillis,
                betweenMillis,
                holdMillis,
                pausedMillis,
                retryPermille,
                moveReportMillis,
                retryBurst,
                registrySettleMillis,
                lendMillis,
                retryWindowMillis);
    }
}

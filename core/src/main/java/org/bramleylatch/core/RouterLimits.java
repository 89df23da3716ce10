package org.bramleylatch.core;

/**
 * Holds the maximums, timeouts and retry allowance of a router.
 *
 * @param maxEndpointsPerVersion the maximum number of endpoints that the router uses of one back
 *     end and version
 * @param maxOpenRequests the maximum number of unfinished requests, those of slow readers included
 * @param maxQueuedRequests the maximum number of requests that wait for an endpoint
 * @param maxAttempts the maximum number of attempts of one request
 * @param reserveTimeoutMillis the timeout of a reservation at a keeper
 * @param firstTokenTimeoutMillis how long an endpoint may take until the first token; on a route
 *     that waits for silent endpoints, when to look for the cause
 * @param stallTimeoutMillis how long an endpoint may be silent after the first token; likewise
 * @param usageHoldTimeoutMillis how long the end of an answer is delayed until a keeper holds its
 *     usage
 * @param pauseTimeoutMillis how long a paused attempt keeps running at its endpoint
 * @param retryPermille the retries allowed per thousand requests to the same back end
 * @param moveReportIntervalMillis the interval between reports of the attempts during moves
 * @param retryBurst the retries per window that each back end may have in addition, over all
 *     routers
 * @param registryGraceMillis how long after an outage the registry may still miss live endpoints
 * @param lenderTimeoutMillis the timeout of a reservation at the keeper of another router
 * @param retryWindowMillis the sliding window over which requests and retries are counted
 */
public record RouterLimits(
        int maxEndpointsPerVersion,
        int maxOpenRequests,
        int maxQueuedRequests,
        int maxAttempts,
        long reserveTimeoutMillis,
        long firstTokenTimeoutMillis,
        long stallTimeoutMillis,
        long usageHoldTimeoutMillis,
        long pauseTimeoutMillis,
        int retryPermille,
        long moveReportIntervalMillis,
        int retryBurst,
        long registryGraceMillis,
        long lenderTimeoutMillis,
        long retryWindowMillis) {
    private static final long RETRY_WINDOW_MILLIS = 10_000;

    /** Uses every endpoint, so that all routers send a shared prompt prefix to the same one. */
    private static final int ALL_ENDPOINTS = 10_000;

    /** Twice the latency objective of the shortest answers; callers of streams leave after 2 s. */
    private static final long FIRST_TOKEN_TIMEOUT_MILLIS = 900;

    private static final long STALL_TIMEOUT_MILLIS = 1_000;

    /** Live endpoints register again within 2 s after an outage of the registry. */
    private static final long REGISTRY_GRACE_MILLIS = 2_300;

    /**
     * Covers a holder's own wait for the log and a busy holder's delay. A shorter one asks a second
     * holder for requests that the first one is about to answer, which loads both.
     */
    private static final long RESERVE_TIMEOUT_MILLIS = 600;

    /** Covers a lender's own wait for the log and a few round trips between zones. */
    private static final long LENDER_TIMEOUT_MILLIS = 160;

    /** Returns the limits of a router that runs in a process of its own. */
    public static RouterLimits standalone() {
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
                LENDER_TIMEOUT_MILLIS,
                RETRY_WINDOW_MILLIS);
    }

    /**
     * Returns the limits of a router that shares its process with its keeper and finds endpoints in
     * a registry.
     *
     * @param retryBurst the part of each back end's retry allowance that does not depend on its
     *     requests, in retries per window over all routers
     * @param retryPermille the retries allowed per thousand requests to the same back end
     * @param retryWindowMillis the sliding window over which both are counted
     */
    public static RouterLimits colocatedWithKeeper(
            int retryBurst, int retryPermille, long retryWindowMillis) {
        RouterLimits standard = standalone();
        return new RouterLimits(
                ALL_ENDPOINTS,
                standard.maxOpenRequests,
                standard.maxQueuedRequests,
                standard.maxAttempts,
                RESERVE_TIMEOUT_MILLIS,
                FIRST_TOKEN_TIMEOUT_MILLIS,
                STALL_TIMEOUT_MILLIS,
                standard.usageHoldTimeoutMillis,
                standard.pauseTimeoutMillis,
                retryPermille,
                standard.moveReportIntervalMillis,
                retryBurst,
                REGISTRY_GRACE_MILLIS,
                standard.lenderTimeoutMillis,
                retryWindowMillis);
    }
}

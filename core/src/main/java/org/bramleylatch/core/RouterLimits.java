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

    /** Every endpoint is used, so that each shared part of a prompt has one home in the fleet. */
    private static final int EVERY_ENDPOINT = 10_000;

    /** Twice the target of the shortest answers; a stream's caller leaves after 2 s. */
    private static final long FIRST_ANSWER_MILLIS = 900;

    private static final long STALL_MILLIS = 1_000;

    /** Entries of live endpoints are back within 2 s of the registry's return. */
    private static final long REGISTRY_SETTLE_MILLIS = 2_300;

    /** What a lender may wait for the log, and a few round trips between zones. */
    private static final long LEND_MILLIS = 160;

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

    /**
     * Returns the limits of a router that shares its process with its keeper and finds endpoints in
     * a registry.
     *
     * @param retryBurst how many retries a back end may get beyond what its requests earn, from all
     *     routers
     * @param retryPermille how many retries its requests earn, in thousandths
     * @param retryWindowMillis over which both are counted
     */
    public static RouterLimits besideKeeper(
            int retryBurst, int retryPermille, long retryWindowMillis) {
        RouterLimits standard = standard();
        return new RouterLimits(
                EVERY_ENDPOINT,
                standard.mostOpen,
                standard.mostQueued,
                standard.mostAttempts,
                standard.reserveMillis,
                FIRST_ANSWER_MILLIS,
                STALL_MILLIS,
                standard.holdMillis,
                standard.pausedMillis,
                retryPermille,
                standard.moveReportMillis,
                retryBurst,
                REGISTRY_SETTLE_MILLIS,
                standard.lendMillis,
                retryWindowMillis);
    }
}

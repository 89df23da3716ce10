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
        long moveReportMillis) {

    /** Returns the limits for the sizes of today. */
    public static RouterLimits standard() {
        return new RouterLimits(24, 2_500, 500, 3, 2_500, 10_000, 5_000, 500, 2_000, 100, 250);
    }
}

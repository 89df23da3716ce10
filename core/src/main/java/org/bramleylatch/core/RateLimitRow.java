package org.bramleylatch.core;

import java.util.Optional;

/**
 * Tracks the limit of one endpoint and the permits of this router, a token bucket that is filled at
 * the router's share of the limit.
 *
 * @param requestsPerSecond what the endpoint takes from all routers together
 * @param heardMillis when any router was last told of the limit, as far as known here
 * @param endedMillis when the endpoint stopped naming it; empty while it does
 * @param sharePerSecond the requests per second of this router
 * @param permits the requests that this router could send at {@code filledMillis}
 * @param filledMillis when permits were last added
 */
record RateLimitRow(
        EndpointId endpoint,
        double requestsPerSecond,
        long heardMillis,
        Optional<Long> endedMillis,
        double sharePerSecond,
        double permits,
        long filledMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** How much of a second's share may be saved, beside a single request. */
    private static final double MAX_SAVED_SECONDS = 0.25;

    /** After its end, the limit that routers keep doubles each second. */
    private static final long DOUBLING_MILLIS = 1_000;

    private static final long RECOVERY_MILLIS = 6 * DOUBLING_MILLIS;

    /** Returns a row without permits, for a limit that was not known before. */
    static RateLimitRow of(EndpointId endpoint, double requestsPerSecond, long nowMillis) {
        return new RateLimitRow(
                endpoint, requestsPerSecond, nowMillis, Optional.empty(), 0, 0, nowMillis);
    }

    /** Returns the row after the endpoint named its limit again. */
    RateLimitRow named(double newRequestsPerSecond, long nowMillis) {
        return new RateLimitRow(
                endpoint,
                newRequestsPerSecond,
                nowMillis,
                Optional.empty(),
                sharePerSecond,
                permits,
                filledMillis);
    }

    /** Returns the row after the endpoint answered without a limit. */
    RateLimitRow ended(long nowMillis) {
        return new RateLimitRow(
                endpoint,
                requestsPerSecond,
                nowMillis,
                Optional.of(endedMillis.orElse(nowMillis)),
                sharePerSecond,
                permits,
                filledMillis);
    }

    /**
     * Returns the requests per second to send to the endpoint over all routers: its limit, or more
     * with each second since it ended, so that the load does not come back at once.
     */
    double allowedPerSecond(long nowMillis) {
        double doublings =
                endedMillis
                        .map(millis -> (nowMillis - millis) / (double) DOUBLING_MILLIS)
                        .orElse(0.0);
        return requestsPerSecond * Math.pow(2, doublings);
    }

    /** Returns true if the limit ended so long ago that it does not bind any more. */
    boolean isOver(long nowMillis) {
        return endedMillis.filter(millis -> nowMillis - millis >= RECOVERY_MILLIS).isPresent();
    }

    /** Returns the row filled up to now at the share so far, and with the given share from now. */
    RateLimitRow filled(double newSharePerSecond, long nowMillis) {
        return new RateLimitRow(
                endpoint,
                requestsPerSecond,
                heardMillis,
                endedMillis,
                newSharePerSecond,
                permitsAt(nowMillis),
                nowMillis);
    }

    /** Returns the permits at the given time. */
    double permitsAt(long nowMillis) {
        double added = sharePerSecond * (nowMillis - filledMillis) / MILLIS_PER_SECOND;
        return Math.min(1 + MAX_SAVED_SECONDS * sharePerSecond, permits + added);
    }

    /** Returns the row after this router sent a request. */
    RateLimitRow requestSent(long nowMillis) {
        return new RateLimitRow(
                endpoint,
                requestsPerSecond,
                heardMillis,
                endedMillis,
                sharePerSecond,
                permitsAt(nowMillis) - 1,
                nowMillis);
    }
}

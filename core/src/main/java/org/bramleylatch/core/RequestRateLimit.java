package org.bramleylatch.core;

/**
 * Limits the requests that a VM takes on a second, as a token bucket whose rate falls while the VM
 * is late and rises while it is not. Callers whose requests are taken on keep their connections, so
 * that the load of the VM comes to rest at what it can bear.
 *
 * @param requestsPerSecond the rate
 * @param credit how many requests could be taken on at the given time
 * @param asOfMillis when the credit was computed
 */
public record RequestRateLimit(double requestsPerSecond, double credit, long asOfMillis) {
    /** Even the smallest VM bears so many, so that one with fewer is late for another reason. */
    static final double MIN_REQUESTS_PER_SECOND = 10;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double FALL_PER_SECOND = 0.5;
    private static final double RISE_PER_SECOND = 1.2;
    private static final double BURST_SECONDS = 0.5;

    /** Returns a limit for a VM that can't keep up with the given requests. */
    public static RequestRateLimit below(double requestsPerSecond, long nowMillis) {
        return new RequestRateLimit(
                Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond * FALL_PER_SECOND),
                0,
                nowMillis);
    }

    /** Returns the limit after a while in which the VM was late or was not. */
    public RequestRateLimit adjust(long elapsedMillis, boolean wasLate, long nowMillis) {
        double change =
                Math.pow(
                        wasLate ? FALL_PER_SECOND : RISE_PER_SECOND,
                        elapsedMillis / MILLIS_PER_SECOND);
        return new RequestRateLimit(
                Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond * change),
                creditAt(nowMillis),
                nowMillis);
    }

    /** Returns true if a request may be taken on. */
    public boolean allowsOne(long nowMillis) {
        return creditAt(nowMillis) >= 1;
    }

    /** Returns the limit after a request was taken on. */
    public RequestRateLimit takeOne(long nowMillis) {
        return new RequestRateLimit(requestsPerSecond, creditAt(nowMillis) - 1, nowMillis);
    }

    private double creditAt(long nowMillis) {
        double earned = requestsPerSecond * (nowMillis - asOfMillis) / MILLIS_PER_SECOND;
        return Math.min(requestsPerSecond * BURST_SECONDS, credit + earned);
    }
}

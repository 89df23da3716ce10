package org.bramleylatch.core;

/**
 * Limits this router's concurrent requests at one endpoint: additive increase while answers start
 * in time, multiplicative decrease when the endpoint is silent until a timeout, or full. Each
 * router adapts by itself, so the sum follows what the endpoint can carry without any exchange.
 *
 * @param requests the most concurrent requests, a fraction of a request included
 * @param decreasedMillis when the limit was last decreased; 0 if never
 */
public record ConcurrencyLimit(double requests, long decreasedMillis) {
    /** A limit of one would let a single silent attempt block the endpoint. */
    private static final double MIN_REQUESTS = 3;

    private static final double MAX_REQUESTS = 10_000;
    private static final double DECREASE_FACTOR = 0.8;

    /** Signs of overload in this span belong to the same overload and count once. */
    private static final long DECREASE_INTERVAL_MILLIS = 200;

    private static final ConcurrencyLimit UNLIMITED = new ConcurrencyLimit(MAX_REQUESTS, 0);

    /** Returns the limit of an endpoint that has not been overloaded yet. */
    public static ConcurrencyLimit unlimited() {
        return UNLIMITED;
    }

    /** Returns true if another request may run there beside the given number. */
    public boolean allows(int outstanding) {
        return outstanding < (int) requests;
    }

    /**
     * Returns the limit after an answer started in time. It grows only while it is in use, so that
     * it stays near the load for which it is known to be right.
     */
    ConcurrencyLimit answeredInTime(int outstanding) {
        boolean isInUse = outstanding * 2 >= requests;
        return isInUse
                ? new ConcurrencyLimit(
                        Math.min(MAX_REQUESTS, requests + 1 / requests), decreasedMillis)
                : this;
    }

    /** Returns the limit after the endpoint was silent until a timeout, or full. */
    ConcurrencyLimit overloaded(int outstanding, long nowMillis) {
        return nowMillis - decreasedMillis < DECREASE_INTERVAL_MILLIS
                ? this
                : new ConcurrencyLimit(
                        Math.max(MIN_REQUESTS, Math.min(requests, outstanding) * DECREASE_FACTOR),
                        nowMillis);
    }
}

package org.bramleylatch.core;

/**
 * Tracks the failures of one endpoint and ejects it temporarily after repeated ones.
 *
 * @param consecutiveFailures the failed attempts since the last successful one
 * @param ejectedUntilMillis when the endpoint may get requests again; 0 if it was not ejected since
 *     the last successful attempt
 */
public record EndpointHealth(int consecutiveFailures, long ejectedUntilMillis) {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long EJECTION_MILLIS = 2_000;
    private static final int MAX_EJECTION_DOUBLINGS = 4;

    /** The first ejection after a failed connection, shorter than that after failed attempts. */
    private static final long UNREACHABLE_EJECTION_MILLIS = 500;

    private static final int MAX_UNREACHABLE_DOUBLINGS = 2;
    private static final EndpointHealth HEALTHY = new EndpointHealth(0, 0);

    /** Returns the health of an endpoint without failures. */
    public static EndpointHealth healthy() {
        return HEALTHY;
    }

    /**
     * Returns true if the endpoint may get another request. After repeated failures it gets one
     * request at a time until an attempt succeeds.
     *
     * @param outstanding how many of this router's requests run there
     */
    public boolean acceptsWork(long nowMillis, int outstanding) {
        boolean hasRepeatedFailures = consecutiveFailures >= FAILURES_TO_EJECT;
        return nowMillis >= ejectedUntilMillis && (!hasRepeatedFailures || outstanding == 0);
    }

    /**
     * Returns the health after another failed attempt. Several failures in a row eject the
     * endpoint, and each further one doubles the time, up to a maximum.
     */
    public EndpointHealth attemptFailed(long nowMillis) {
        int count = consecutiveFailures + 1;
        int doublings = Math.min(MAX_EJECTION_DOUBLINGS, count - FAILURES_TO_EJECT);
        long untilMillis =
                count < FAILURES_TO_EJECT ? 0 : nowMillis + (EJECTION_MILLIS << doublings);
        return new EndpointHealth(count, untilMillis);
    }

    /**
     * Returns the health after a failed connection. A single one ejects the endpoint, and each
     * further failure doubles the time, up to a maximum.
     */
    public EndpointHealth connectionFailed(long nowMillis) {
        int count = Math.max(FAILURES_TO_EJECT, consecutiveFailures + 1);
        int doublings = Math.min(MAX_UNREACHABLE_DOUBLINGS, count - FAILURES_TO_EJECT);
        return new EndpointHealth(count, nowMillis + (UNREACHABLE_EJECTION_MILLIS << doublings));
    }
}

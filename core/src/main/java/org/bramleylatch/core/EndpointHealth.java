package org.bramleylatch.core;

/**
 * Is how one endpoint's attempts went lately; repeated failures keep new work away for a while.
 *
 * @param failures failed attempts since the last good one
 * @param ejectedUntilMillis no new work before this time
 */
public record EndpointHealth(int failures, long ejectedUntilMillis) {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long EJECT_MILLIS = 2_000;
    private static final int MOST_DOUBLINGS = 4;
    private static final long UNREACHABLE_MILLIS = 500;
    private static final int UNREACHABLE_DOUBLINGS = 2;
    private static final EndpointHealth GOOD = new EndpointHealth(0, 0);

    /** Returns the health of an endpoint without failures. */
    public static EndpointHealth good() {
        return GOOD;
    }

    /** Returns true if new work may go to it, given what it is already at work on. */
    public boolean admits(long nowMillis, int outstanding) {
        boolean onTrial = failures >= FAILURES_TO_EJECT;
        return nowMillis >= ejectedUntilMillis && (!onTrial || outstanding == 0);
    }

    /** Returns the health after another failure. */
    public EndpointHealth failed(long nowMillis) {
        int count = failures + 1;
        int doublings = Math.min(MOST_DOUBLINGS, count - FAILURES_TO_EJECT);
        long until = count < FAILURES_TO_EJECT ? 0 : nowMillis + (EJECT_MILLIS << doublings);
        return new EndpointHealth(count, until);
    }

    /** Returns the health after no connection could be made; one such failure is enough. */
    public EndpointHealth unreachable(long nowMillis) {
        int count = Math.max(FAILURES_TO_EJECT, failures + 1);
        int doublings = Math.min(UNREACHABLE_DOUBLINGS, count - FAILURES_TO_EJECT);
        return new EndpointHealth(count, nowMillis + (UNREACHABLE_MILLIS << doublings));
    }
}

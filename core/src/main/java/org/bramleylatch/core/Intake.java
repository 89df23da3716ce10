package org.bramleylatch.core;

/**
 * Limits the requests that a VM takes on, by what it was able to keep up with lately: the limit
 * falls while the VM is late and rises while it is not. Callers whose requests are taken on keep
 * their connections, so that the load of the VM comes to rest at what it can bear.
 *
 * @param requestsPerSecond the limit
 * @param credit how many requests may be taken on now
 */
public record Intake(double requestsPerSecond, double credit) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Halves the limit in a second of lateness. */
    private static final double FALL_PER_SECOND = 0.5;

    /** Doubles the limit in some seconds, slower than the platform moves connections. */
    private static final double RISE_PER_SECOND = 1.2;

    /** Requests that come together are taken on together. */
    private static final double BURST_SECONDS = 0.2;

    private static final double MIN_REQUESTS_PER_SECOND = 1;

    /** Returns a limit for a VM that can't keep up with the given requests. */
    public static Intake below(double requestsPerSecond) {
        return new Intake(
                Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond * FALL_PER_SECOND), 0);
    }

    /** Returns the limit after a while in which the VM was late or was not. */
    public Intake after(long elapsedMillis, boolean wasLate) {
        double seconds = elapsedMillis / MILLIS_PER_SECOND;
        double change = Math.pow(wasLate ? FALL_PER_SECOND : RISE_PER_SECOND, seconds);
        double limit = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond * change);
        double maxCredit = Math.max(1, limit * BURST_SECONDS);
        return new Intake(limit, Math.min(maxCredit, credit + limit * seconds));
    }

    /** Returns true if a request may be taken on. */
    public boolean allowsOne() {
        return credit >= 1;
    }

    /** Returns the state after a request was taken on. */
    public Intake takeOne() {
        return new Intake(requestsPerSecond, credit - 1);
    }
}

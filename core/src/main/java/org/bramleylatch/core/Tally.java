package org.bramleylatch.core;

/**
 * Counts how attempts at one version went.
 *
 * @param good attempts that went well
 * @param bad attempts that failed or were slow
 */
public record Tally(long good, long bad) {
    private static final Tally EMPTY = new Tally(0, 0);

    /** Returns the count of nothing. */
    public static Tally empty() {
        return EMPTY;
    }

    /** Returns the count with one more attempt. */
    public Tally with(boolean wentWell) {
        return wentWell ? new Tally(good + 1, bad) : new Tally(good, bad + 1);
    }

    /** Returns the sum of both counts. */
    public Tally plus(Tally other) {
        return new Tally(good + other.good, bad + other.bad);
    }

    /** Returns the number of attempts. */
    public long all() {
        return good + bad;
    }

    /** Returns the bad part, 0 if there was no attempt. */
    public double badShare() {
        return all() == 0 ? 0 : bad / (double) all();
    }
}

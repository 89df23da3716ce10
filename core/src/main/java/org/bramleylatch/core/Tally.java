package org.bramleylatch.core;

/**
 * Counts the good and bad attempts at one endpoint version.
 *
 * @param good attempts that succeeded
 * @param bad attempts that failed or, at the new version of a move, whose first token was slow
 */
public record Tally(long good, long bad) {
    private static final Tally EMPTY = new Tally(0, 0);

    /** Returns a tally without attempts. */
    public static Tally empty() {
        return EMPTY;
    }

    /** Returns the tally with one more attempt. */
    public Tally with(boolean isGood) {
        return isGood ? new Tally(good + 1, bad) : new Tally(good, bad + 1);
    }

    /** Returns the sum of both tallies. */
    public Tally plus(Tally other) {
        return new Tally(good + other.good, bad + other.bad);
    }

    /** Returns the number of attempts, good and bad. */
    public long total() {
        return good + bad;
    }

    /** Returns the share of bad attempts, from 0 to 1; 0 if there was no attempt. */
    public double badShare() {
        return total() == 0 ? 0 : bad / (double) total();
    }
}

package org.bramleylatch.core;

/**
 * Is a sequential test of a new version against the old one at the same time: a cumulative sum of
 * the log-likelihood ratio between a bad share that is tolerated and one that is not. The sum never
 * falls below zero, so that a version that turns bad late is found as fast as one that starts bad.
 *
 * @param sum the evidence for badness; the version is bad once it reaches {@link #ALARM}
 */
public record HealthTest(double sum) {
    /** The evidence at which a version counts as bad: ln of one in 3,000 false alarms a stage. */
    public static final double ALARM = 8;

    private static final double TOLERATED_SHARE = 0.04;
    private static final double TOLERATED_EXTRA_SHARE = 0.02;
    private static final double BAD_FACTOR = 4;
    private static final double MOST_BAD_SHARE = 0.9;
    private static final HealthTest START = new HealthTest(0);

    /** Returns the test before any attempt. */
    public static HealthTest start() {
        return START;
    }

    /**
     * Returns the test after one more attempt at the new version.
     *
     * @param wentWell whether the attempt went well
     * @param old the attempts at the old version in the same time
     */
    public HealthTest after(boolean wentWell, Tally old) {
        double tolerated = Math.max(TOLERATED_SHARE, old.badShare() + TOLERATED_EXTRA_SHARE);
        double bad = Math.min(MOST_BAD_SHARE, tolerated * BAD_FACTOR);
        double change =
                wentWell ? Math.log((1 - bad) / (1 - tolerated)) : Math.log(bad / tolerated);
        return new HealthTest(Math.max(0, sum + change));
    }

    /** Returns the test after the attempts of a count, the bad ones first; an alarm stays. */
    public HealthTest after(Tally attempts, Tally old) {
        HealthTest test = this;
        for (long index = 0; index < attempts.all() && !test.isBad(); index++) {
            test = test.after(index >= attempts.bad(), old);
        }
        return test;
    }

    /** Returns true once the version counts as bad. */
    public boolean isBad() {
        return sum >= ALARM;
    }
}

package org.bramleylatch.core;

/**
 * Detects whether a new endpoint version fails or is slow more often than the old one at the same
 * time. The test is a cumulative sum (CUSUM) of the log-likelihood ratio between a share of bad
 * attempts that is tolerated and one that is not. The sum never falls below zero, so that a version
 * that becomes bad late is detected as fast as one that is bad from the start.
 *
 * @param sum the evidence against the version, at least 0; bad at {@link #ALARM} or above
 */
public record HealthTest(double sum) {
    /** The sum at which a version is bad: about ln(3,000), for one false alarm in 3,000 stages. */
    public static final double ALARM = 8;

    /** The share of bad attempts that is tolerated in any case. */
    private static final double TOLERATED_SHARE = 0.04;

    /** How much larger than that of the old version the share of bad attempts may be. */
    private static final double TOLERATED_EXTRA_SHARE = 0.02;

    /** How many times the tolerated share the share of a bad version is assumed to be. */
    private static final double BAD_SHARE_FACTOR = 4;

    private static final double MAX_BAD_SHARE = 0.9;
    private static final HealthTest START = new HealthTest(0);

    /** Returns the test without evidence. */
    public static HealthTest start() {
        return START;
    }

    /**
     * Returns the test after one more attempt at the new version.
     *
     * @param isGood true if the attempt neither failed nor was slow
     * @param old the attempts at the old version in the same time
     */
    public HealthTest after(boolean isGood, Tally old) {
        double toleratedShare = Math.max(TOLERATED_SHARE, old.badShare() + TOLERATED_EXTRA_SHARE);
        double badShare = Math.min(MAX_BAD_SHARE, toleratedShare * BAD_SHARE_FACTOR);
        double change =
                isGood
                        ? Math.log((1 - badShare) / (1 - toleratedShare))
                        : Math.log(badShare / toleratedShare);
        return new HealthTest(Math.max(0, sum + change));
    }

    /** Returns the test after the counted attempts, the bad ones first, up to an alarm. */
    public HealthTest after(Tally attempts, Tally old) {
        return afterAlike(false, attempts.bad(), old).afterAlike(true, attempts.good(), old);
    }

    /**
     * Returns the test after a number of equal attempts, up to an alarm. It stops once the sum
     * stays the same, since each further attempt would leave it so.
     */
    private HealthTest afterAlike(boolean isGood, long count, Tally old) {
        HealthTest test = this;
        boolean changed = true;
        for (long index = 0; index < count && changed && !test.isBad(); index++) {
            HealthTest next = test.after(isGood, old);
            changed = !next.equals(test);
            test = next;
        }
        return test;
    }

    /** Returns true if the evidence has reached {@link #ALARM}. */
    public boolean isBad() {
        return sum >= ALARM;
    }
}

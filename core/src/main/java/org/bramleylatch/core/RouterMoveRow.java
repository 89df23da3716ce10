package org.bramleylatch.core;

import java.util.Optional;

/**
 * Holds a router's view of a planned move: the latest known state of the move and the outcomes of
 * the router's own attempts. The router sends no more requests to the new version as soon as its
 * own attempts show that version to be bad, without waiting for the log.
 *
 * @param oldAttempts attempts at the old version since the last report
 * @param newAttempts attempts at the new version since the last report
 * @param totalOldAttempts all attempts at the old version since the router first saw the move
 * @param healthTest the evidence against the new version in this router's attempts
 * @param isNewVersionStopped true once this router has stopped the new version on its own evidence
 * @param meanFirstTokenMillis the mean time to the first token at the old version, exponentially
 *     weighted; 0 while unknown
 */
public record RouterMoveRow(
        MoveRow move,
        Tally oldAttempts,
        Tally newAttempts,
        Tally totalOldAttempts,
        HealthTest healthTest,
        boolean isNewVersionStopped,
        double meanFirstTokenMillis) {
    /** A first token that takes this many times the mean of the old version counts as slow. */
    private static final double SLOW_FACTOR = 3;

    /** A lower mean is raised to this value, so that small absolute delays never count as slow. */
    private static final double MIN_BASELINE_MILLIS = 20;

    /** The mean weighs the first 20 attempts equally; from then on, the newest has this weight. */
    private static final double MIN_NEWEST_WEIGHT = 0.05;

    /** Creates the row of a move that this router has not seen before. */
    public static RouterMoveRow of(MoveRow move) {
        return new RouterMoveRow(
                move, Tally.empty(), Tally.empty(), Tally.empty(), HealthTest.start(), false, 0);
    }

    /**
     * Returns the row with a newer state of the move; an older state is ignored. A new move of the
     * same route begins with empty counts.
     */
    public RouterMoveRow withMove(MoveRow newer) {
        if (newer.revision() < move.revision()) {
            return this;
        }
        return newer.spec().equals(move.spec())
                ? new RouterMoveRow(
                        newer,
                        oldAttempts,
                        newAttempts,
                        totalOldAttempts,
                        healthTest,
                        isNewVersionStopped,
                        meanFirstTokenMillis)
                : of(newer);
    }

    /**
     * Selects the version of a request by comparing its key with the share of the new version: a
     * request that gets the new version at one share also gets it at every larger share. While the
     * move runs and this router has stopped the new version, every request gets the old one.
     */
    public Version versionFor(RequestKey key) {
        int point = (int) Long.remainderUnsigned(key.low(), VersionShare.WHOLE_PERMILLE);
        boolean goesToNew =
                point < move.sharePermille() && !(isNewVersionStopped && move.isRunning());
        return goesToNew ? move.spec().to() : move.spec().from();
    }

    /**
     * Counts a completed attempt. A successful attempt at the new version counts as bad if its
     * first token was slow. Attempts at other versions, and at the new version after the end of the
     * move, change nothing.
     *
     * @param firstTokenMillis the time to the first token; empty if none arrived
     */
    public RouterMoveRow withAttempt(
            Version version, boolean succeeded, Optional<Long> firstTokenMillis) {
        if (version.equals(move.spec().from())) {
            return withOldAttempt(succeeded, firstTokenMillis);
        }
        return version.equals(move.spec().to()) && move.isRunning()
                ? withNewAttempt(succeeded && !isFirstTokenSlow(firstTokenMillis))
                : this;
    }

    /** Returns the row with the counts of unreported attempts reset. */
    public RouterMoveRow markReported() {
        return new RouterMoveRow(
                move,
                Tally.empty(),
                Tally.empty(),
                totalOldAttempts,
                healthTest,
                isNewVersionStopped,
                meanFirstTokenMillis);
    }

    /** Returns true if the move runs and attempts were counted since the last report. */
    public boolean hasUnreportedAttempts() {
        return move.isRunning() && oldAttempts.total() + newAttempts.total() > 0;
    }

    private RouterMoveRow withOldAttempt(boolean succeeded, Optional<Long> firstTokenMillis) {
        double meanMillis =
                firstTokenMillis
                        .map(
                                millis ->
                                        meanFirstTokenMillis
                                                + (millis - meanFirstTokenMillis) * newestWeight())
                        .orElse(meanFirstTokenMillis);
        return new RouterMoveRow(
                move,
                oldAttempts.with(succeeded),
                newAttempts,
                totalOldAttempts.with(succeeded),
                healthTest,
                isNewVersionStopped,
                meanMillis);
    }

    private RouterMoveRow withNewAttempt(boolean isGood) {
        HealthTest after = healthTest.after(isGood, totalOldAttempts);
        return new RouterMoveRow(
                move,
                oldAttempts,
                newAttempts.with(isGood),
                totalOldAttempts,
                after,
                isNewVersionStopped || after.isBad(),
                meanFirstTokenMillis);
    }

    private double newestWeight() {
        return Math.max(MIN_NEWEST_WEIGHT, 1.0 / (totalOldAttempts.total() + 1));
    }

    private boolean isFirstTokenSlow(Optional<Long> firstTokenMillis) {
        double limitMillis = Math.max(meanFirstTokenMillis, MIN_BASELINE_MILLIS) * SLOW_FACTOR;
        return meanFirstTokenMillis > 0
                && firstTokenMillis.filter(millis -> millis > limitMillis).isPresent();
    }
}

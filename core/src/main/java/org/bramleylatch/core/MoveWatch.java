package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is what one router knows of a move: the move itself, and the attempts since its last report. It
 * stops the new version by itself as soon as its own evidence shows it to be bad.
 *
 * @param stopped true once this router has stopped the new version by itself
 * @param usualMillis the usual time to the first token at the old version, 0 while unknown
 */
public record MoveWatch(
        MoveRow move,
        Tally old,
        Tally fresh,
        Tally allOld,
        HealthTest test,
        boolean stopped,
        double usualMillis) {
    private static final double SLOW_FACTOR = 3;
    private static final double LEAST_USUAL_MILLIS = 20;
    private static final double NEWEST_WEIGHT = 0.05;

    /** Returns the watch over a move that this router has not seen before. */
    public static MoveWatch of(MoveRow move) {
        return new MoveWatch(
                move, Tally.empty(), Tally.empty(), Tally.empty(), HealthTest.start(), false, 0);
    }

    /** Returns the watch over a newer state of its move; an older one changes nothing. */
    public MoveWatch seen(MoveRow newer) {
        if (newer.revision() < move.revision()) {
            return this;
        }
        return newer.spec().equals(move.spec())
                ? new MoveWatch(newer, old, fresh, allOld, test, stopped, usualMillis)
                : of(newer);
    }

    /** Returns the version that the request falls to. */
    public Version versionFor(RequestKey key) {
        int point = (int) Long.remainderUnsigned(key.low(), VersionShare.WHOLE_PERMILLE);
        boolean isFresh = point < move.sharePermille() && !(stopped && move.isRunning());
        return isFresh ? move.spec().to() : move.spec().from();
    }

    /**
     * Returns the watch after an attempt.
     *
     * @param wentWell whether it succeeded
     * @param firstTokenMillis the time to its first token; empty if there was none
     */
    public MoveWatch attempted(Version version, boolean wentWell, Optional<Long> firstTokenMillis) {
        if (version.equals(move.spec().from())) {
            return ofOld(wentWell, firstTokenMillis);
        }
        return version.equals(move.spec().to()) && move.isRunning()
                ? ofFresh(wentWell && !isSlow(firstTokenMillis))
                : this;
    }

    /** Returns the watch after its attempts were reported. */
    public MoveWatch reported() {
        return new MoveWatch(
                move, Tally.empty(), Tally.empty(), allOld, test, stopped, usualMillis);
    }

    /** Returns true if there is something to report. */
    public boolean hasNews() {
        return move.isRunning() && old.all() + fresh.all() > 0;
    }

    private MoveWatch ofOld(boolean wentWell, Optional<Long> firstTokenMillis) {
        double usual =
                firstTokenMillis
                        .map(millis -> usualMillis + (millis - usualMillis) * weight())
                        .orElse(usualMillis);
        return new MoveWatch(
                move, old.with(wentWell), fresh, allOld.with(wentWell), test, stopped, usual);
    }

    private MoveWatch ofFresh(boolean good) {
        HealthTest after = test.after(good, allOld);
        return new MoveWatch(
                move, old, fresh.with(good), allOld, after, stopped || after.isBad(), usualMillis);
    }

    private double weight() {
        return Math.max(NEWEST_WEIGHT, 1.0 / (allOld.all() + 1));
    }

    private boolean isSlow(Optional<Long> firstTokenMillis) {
        double bound = Math.max(usualMillis, LEAST_USUAL_MILLIS) * SLOW_FACTOR;
        return usualMillis > 0 && firstTokenMillis.filter(m -> m > bound).isPresent();
    }
}

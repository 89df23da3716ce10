package org.bramleylatch.standin;

/**
 * Tells how the platform stand-in misbehaves.
 *
 * @param outage true if nothing is answered but with an error
 * @param loseAnswers how many of the next appends take effect without an answer
 * @param delayMillis how much later everything is answered
 */
record PlatformFaults(boolean outage, int loseAnswers, long delayMillis) {

    /** Returns the absence of faults. */
    static PlatformFaults none() {
        return new PlatformFaults(false, 0, 0);
    }

    /** Returns the faults after one answer was lost. */
    PlatformFaults lostOne() {
        return new PlatformFaults(outage, loseAnswers - 1, delayMillis);
    }
}

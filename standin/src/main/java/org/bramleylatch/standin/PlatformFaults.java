package org.bramleylatch.standin;

/**
 * Selects the faults that the simulated platform injects.
 *
 * @param outage true if every request is answered with status 503
 * @param loseAnswers how many of the next appends take effect but lose their response
 * @param delayMillis delay before each request is handled, in milliseconds
 */
record PlatformFaults(boolean outage, int loseAnswers, long delayMillis) {

    /** Selects no faults. */
    static PlatformFaults none() {
        return new PlatformFaults(false, 0, 0);
    }

    /** Makes a copy with one response less to lose. */
    PlatformFaults afterLostAnswer() {
        return new PlatformFaults(outage, loseAnswers - 1, delayMillis);
    }
}

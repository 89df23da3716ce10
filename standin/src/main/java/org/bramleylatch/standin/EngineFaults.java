package org.bramleylatch.standin;

/**
 * Selects the faults that the simulated engine injects.
 *
 * @param failPercent how many of 100 requests are refused with an error and run state "unknown"
 * @param breakAfterTokens position at which the stream of an answer is reset; 0 for never
 * @param stallAfterTokens position from which no more tokens are sent; 0 for never
 * @param repeatTokens true if each token event is sent twice
 * @param truncate true if the end event, with the full length, comes one token early
 * @param slowFactor how many times longer each generation step takes; 0 counts as 1
 */
record EngineFaults(
        int failPercent,
        int breakAfterTokens,
        int stallAfterTokens,
        boolean repeatTokens,
        boolean truncate,
        int slowFactor) {

    /** Selects no faults. */
    static EngineFaults none() {
        return new EngineFaults(0, 0, 0, false, false, 1);
    }
}

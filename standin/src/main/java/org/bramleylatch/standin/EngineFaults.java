package org.bramleylatch.standin;

/**
 * Tells how the engine stand-in misbehaves.
 *
 * @param failPercent how many of 100 requests are refused with an error after they ran
 * @param breakAfterTokens break streams off after this many tokens; 0 for never
 * @param stallAfterTokens fall silent after this many tokens; 0 for never
 * @param repeatTokens true if each message is sent twice
 * @param truncate true if the end marker comes one token early
 * @param slowFactor how many times longer each step takes; 0 counts as 1
 */
record EngineFaults(
        int failPercent,
        int breakAfterTokens,
        int stallAfterTokens,
        boolean repeatTokens,
        boolean truncate,
        int slowFactor) {

    /** Returns the absence of faults. */
    static EngineFaults none() {
        return new EngineFaults(0, 0, 0, false, false, 1);
    }
}

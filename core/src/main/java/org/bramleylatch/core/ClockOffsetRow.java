package org.bramleylatch.core;

/**
 * Holds the offset between this process's clock and that of a process on another VM, taken from the
 * latest record of that process that was read live.
 *
 * @param stableName the other process's {@link Incarnation#stableName()}
 * @param offsetMillis this process's time of reading minus the other's time of writing, which
 *     includes the delay of the log
 * @param readMillis when the record was read, by this process's clock
 */
record ClockOffsetRow(String stableName, long offsetMillis, long readMillis) {

    /** Returns true if the record is at most maxAgeMillis old and the clocks agree. */
    boolean agrees(long nowMillis, long maxAgeMillis, long toleranceMillis) {
        return nowMillis - readMillis <= maxAgeMillis && Math.abs(offsetMillis) <= toleranceMillis;
    }
}

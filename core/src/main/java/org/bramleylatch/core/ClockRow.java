package org.bramleylatch.core;

/**
 * Is how the clock of another VM's process compares with the own one, by the last record of it that
 * was read as it was written.
 *
 * @param vm names the process without what is new in each run
 * @param aheadMillis the own time at reading less the other's time at writing
 * @param seenMillis when the record was read, by the own clock
 */
record ClockRow(String vm, long aheadMillis, long seenMillis) {

    /** Returns true if the record is recent and both clocks agree within the tolerance. */
    boolean agrees(long nowMillis, long freshMillis, long toleranceMillis) {
        return nowMillis - seenMillis <= freshMillis && Math.abs(aheadMillis) <= toleranceMillis;
    }
}

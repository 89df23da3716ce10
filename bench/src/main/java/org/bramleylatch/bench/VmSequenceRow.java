package org.bramleylatch.bench;

/**
 * Counts the requests that came to a VM by the numbers that its processes give them, from 1.
 *
 * @param earlierRequests the requests of its earlier processes
 * @param newestNumber the highest number of its current process
 */
record VmSequenceRow(long earlierRequests, long newestNumber) {

    /** Returns a row without requests. */
    static VmSequenceRow empty() {
        return new VmSequenceRow(0, 0);
    }

    VmSequenceRow withNumber(long number) {
        return new VmSequenceRow(earlierRequests, Math.max(newestNumber, number));
    }

    VmSequenceRow withNextProcess() {
        return new VmSequenceRow(requests(), 0);
    }

    long requests() {
        return earlierRequests + newestNumber;
    }
}

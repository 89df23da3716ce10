package org.bramleylatch.bench;

/**
 * Counts the requests of one workspace or one VM.
 *
 * @param finished the requests whose callers got the whole of an answer with status 200
 * @param vms the number of VMs that the requests came to
 */
record ServedShareRow(String name, long arrivals, long finished, long vms) {

    /** Returns the finished requests as a share of all that arrived; 0 if none did. */
    double share() {
        return arrivals == 0 ? 0 : (double) finished / arrivals;
    }
}

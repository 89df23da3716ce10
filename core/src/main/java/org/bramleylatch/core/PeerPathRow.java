package org.bramleylatch.core;

/**
 * Tracks whether a peer VM carries this VM's connections to endpoints.
 *
 * @param provenMillis when it last did; 0 if never
 * @param failedMillis when it last could not; 0 if never
 */
record PeerPathRow(VmRow vm, long provenMillis, long failedMillis) {
    /** A peer that has not been used or asked for this long may be cut off itself by now. */
    private static final long PROVEN_FOR_MILLIS = 2_000;

    /** Returns the path through a peer that was not used yet. */
    static PeerPathRow of(VmRow vm) {
        return new PeerPathRow(vm, 0, 0);
    }

    PeerPathRow proven(long nowMillis) {
        return new PeerPathRow(vm, nowMillis, failedMillis);
    }

    PeerPathRow failed(long nowMillis) {
        return new PeerPathRow(vm, provenMillis, nowMillis);
    }

    /** Returns true if the peer carried a connection lately and has not failed since. */
    boolean isUsable(long nowMillis) {
        return provenMillis > failedMillis && nowMillis - provenMillis < PROVEN_FOR_MILLIS;
    }
}

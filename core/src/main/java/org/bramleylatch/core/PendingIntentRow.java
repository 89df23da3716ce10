package org.bramleylatch.core;

/**
 * Tracks the intent that a router asked for until its record is read back from the log.
 *
 * @param refused true once the router was told that it has no claim; if the claim is read back
 *     later, it is ended as not run
 */
record PendingIntentRow(RequestKey key, Incarnation router, boolean refused) {

    PendingIntentRow markRefused() {
        return new PendingIntentRow(key, router, true);
    }
}

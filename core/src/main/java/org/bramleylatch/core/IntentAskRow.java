package org.bramleylatch.core;

/**
 * Tracks a router's request to claim a single run until its claim is read back from the log.
 *
 * @param refused true once the router was told that no claim was made; a claim that is read back
 *     later is ended as not run
 */
record IntentAskRow(RequestKey key, Incarnation router, boolean refused) {

    IntentAskRow markRefused() {
        return new IntentAskRow(key, router, true);
    }
}

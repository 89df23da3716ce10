package org.bramleylatch.core;

/**
 * Is a router's wish to claim the single run of a request.
 *
 * @param givenUp true once the router was told that no claim was made
 */
record IntentAskRow(RequestKey key, Incarnation router, boolean givenUp) {

    IntentAskRow giveUp() {
        return new IntentAskRow(key, router, true);
    }
}

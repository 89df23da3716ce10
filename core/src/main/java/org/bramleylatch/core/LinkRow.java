package org.bramleylatch.core;

/**
 * Tracks the direct path from this VM to an endpoint after a connection over it could not be
 * established.
 *
 * @param sinceMillis when a direct connection failed for the first time
 * @param failedMillis when a direct connection failed last
 * @param askedMillis when peers were asked last whether they reach the endpoint; 0 if never
 * @param isCounted true once a failure counted as evidence; until then, all of them may come from
 *     this VM's own lateness
 * @param isDown true once a peer has reached the endpoint, so that the path is at fault
 */
record LinkRow(
        EndpointId endpoint,
        long sinceMillis,
        long failedMillis,
        long askedMillis,
        boolean isCounted,
        boolean isDown) {

    /** Returns the link of an endpoint after its first failed connection. */
    static LinkRow suspected(EndpointId endpoint, long nowMillis) {
        return new LinkRow(endpoint, nowMillis, nowMillis, 0, false, false);
    }

    /** Returns the link after another direct connection failed. */
    LinkRow failedAgain(long nowMillis) {
        return new LinkRow(endpoint, sinceMillis, nowMillis, askedMillis, isCounted, isDown);
    }

    /** Returns the link after peers were asked. */
    LinkRow asked(long nowMillis) {
        return new LinkRow(endpoint, sinceMillis, failedMillis, nowMillis, isCounted, isDown);
    }

    /** Returns the link after a failure that counts as evidence. */
    LinkRow counted() {
        return new LinkRow(endpoint, sinceMillis, failedMillis, askedMillis, true, isDown);
    }

    /** Returns the link after a peer reached the endpoint. */
    LinkRow down() {
        return new LinkRow(endpoint, sinceMillis, failedMillis, askedMillis, true, true);
    }
}

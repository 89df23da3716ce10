package org.bramleylatch.gateway;

import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;
import java.nio.charset.StandardCharsets;

/**
 * Holds which requests a connection to an endpoint has carried, and whether it has closed.
 *
 * @param number the number of the connection, from 1 in the order of their first requests
 * @param idHashes the hashes of the requests' ids, whose length callers decide
 * @param closed true if the connection has closed
 */
record EndpointConnectionRow(long number, ImmutableLongArray idHashes, boolean closed) {
    /** Bounds the memory for a connection to 1 KB; a connection that has carried as many closes. */
    private static final int MAX_REQUESTS = 128;

    /** Creates the row of a connection that has carried no request. */
    static EndpointConnectionRow unused(long number) {
        return new EndpointConnectionRow(number, ImmutableLongArray.of(), false);
    }

    /**
     * Returns true if the connection may carry the request: it is open, it has carried none with
     * the same id, and its row has room for a further one.
     */
    boolean mayCarry(String requestId) {
        return !closed && !isFull() && !idHashes.contains(hash(requestId));
    }

    boolean isFull() {
        return idHashes.length() >= MAX_REQUESTS;
    }

    /** Returns true if the connection has carried no request. */
    boolean isUnused() {
        return idHashes.isEmpty();
    }

    EndpointConnectionRow asClosed() {
        return new EndpointConnectionRow(number, idHashes, true);
    }

    EndpointConnectionRow withRequest(String requestId) {
        return new EndpointConnectionRow(
                number,
                ImmutableLongArray.builder(idHashes.length() + 1)
                        .addAll(idHashes)
                        .add(hash(requestId))
                        .build(),
                closed);
    }

    /** Returns the place of the latest request. */
    ConnectionUse latestUse() {
        return new ConnectionUse(number, idHashes.length());
    }

    /** Hashes an id. Two ids with one hash cost a connection, no more. */
    private static long hash(String requestId) {
        return Hashing.sipHash24().hashString(requestId, StandardCharsets.UTF_8).asLong();
    }
}

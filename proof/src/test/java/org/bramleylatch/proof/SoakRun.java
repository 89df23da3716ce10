package org.bramleylatch.proof;

import io.vertx.core.net.NetSocket;

/**
 * Holds a request that an endpoint received, and how far its answer is.
 *
 * @param requestId the request's id
 * @param endpoint the name of the endpoint
 * @param port the endpoint's port
 * @param answer what the endpoint does
 * @param socket the connection
 * @param receivedMillis when the request's head was read
 * @param dueMillis when the next part is to be written
 * @param writtenParts how many parts are written
 * @param done true once nothing more is written
 */
record SoakRun(
        String requestId,
        String endpoint,
        int port,
        SoakAnswer answer,
        NetSocket socket,
        long receivedMillis,
        long dueMillis,
        int writtenParts,
        boolean done) {

    /** Returns the run after its next part. */
    SoakRun withPartWritten(long nextDueMillis) {
        return with(nextDueMillis, writtenParts + 1, done);
    }

    SoakRun ended() {
        return with(dueMillis, writtenParts, true);
    }

    private SoakRun with(long newDueMillis, int newWrittenParts, boolean newDone) {
        return new SoakRun(
                requestId,
                endpoint,
                port,
                answer,
                socket,
                receivedMillis,
                newDueMillis,
                newWrittenParts,
                newDone);
    }

    /** Returns when the endpoint wrote last, or read the request if it wrote nothing. */
    long lastActiveMillis() {
        return writtenParts == 0 ? receivedMillis : dueMillis - answer.gapMillis();
    }

    String key() {
        return requestId + "/" + endpoint + "/" + receivedMillis;
    }

    boolean hasPartsLeft() {
        return writtenParts < answer.parts().size();
    }

    @Override
    public String toString() {
        return "%s at %s from %d ms, %s, %d of %d parts"
                .formatted(
                        answer.name(),
                        endpoint,
                        receivedMillis,
                        done ? "done" : "not done",
                        writtenParts,
                        answer.parts().size());
    }
}

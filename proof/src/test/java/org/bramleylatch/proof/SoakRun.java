package org.bramleylatch.proof;

import io.vertx.core.net.NetSocket;

/**
 * Holds a request that an endpoint received, and how far its answer is.
 *
 * @param number the run's number, from 1
 * @param requestId the request's id
 * @param endpoint the name of the endpoint
 * @param port the endpoint's port
 * @param answer what the endpoint does
 * @param socket the connection
 * @param receivedMillis when the request's head was read
 * @param dueMillis when the next part is to be written
 * @param writtenParts how many parts are written
 * @param done true once nothing more is written
 * @param copied true once the copy of the answer is written
 */
record SoakRun(
        int number,
        String requestId,
        String endpoint,
        int port,
        SoakAnswer answer,
        NetSocket socket,
        long receivedMillis,
        long dueMillis,
        int writtenParts,
        boolean done,
        boolean copied) {

    /** Returns the run after its next part. */
    SoakRun withPartWritten(long nextDueMillis) {
        return with(nextDueMillis, writtenParts + 1, done, copied);
    }

    SoakRun ended() {
        return with(dueMillis, writtenParts, true, copied);
    }

    SoakRun withCopyWritten() {
        return with(dueMillis, writtenParts, done, true);
    }

    private SoakRun with(
            long newDueMillis, int newWrittenParts, boolean newDone, boolean newCopied) {
        return new SoakRun(
                number,
                requestId,
                endpoint,
                port,
                answer,
                socket,
                receivedMillis,
                newDueMillis,
                newWrittenParts,
                newDone,
                newCopied);
    }

    /** Returns when the endpoint wrote last, or read the request if it wrote nothing. */
    long lastActiveMillis() {
        return writtenParts == 0 ? receivedMillis : dueMillis - answer.gapMillis();
    }

    static String signature(int number) {
        return "seal-" + number;
    }

    boolean hasSignature(String text) {
        return text.equals(signature(number));
    }

    /** Returns true if the first answer is written, and its copy is not. */
    boolean hasCopyLeft() {
        return !done && !copied && !hasPartsLeft() && answer.copy().isPresent();
    }

    boolean isCopyDue(long nowMillis) {
        return nowMillis - dueMillis >= answer.copy().orElseThrow().idleMillis();
    }

    boolean hasPartsLeft() {
        return writtenParts < answer.parts().size();
    }

    @Override
    public String toString() {
        return "%s %s at %s from %d ms, %s, %d of %d parts%s"
                .formatted(
                        signature(number),
                        answer.name(),
                        endpoint,
                        receivedMillis,
                        done ? "done" : "not done",
                        writtenParts,
                        answer.parts().size(),
                        copied ? " and a copy" : "");
    }
}

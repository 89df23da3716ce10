package org.bramleylatch.gateway;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;

/**
 * Holds the body of a request and its share of the budget. The share is given back once neither the
 * request nor a connection to an endpoint needs the bytes.
 */
final class RequestBody {
    private static final int MIN_GROWN_BYTES = 1024;

    private final BodyBudget budget;
    private Buffer bytes = Buffer.buffer();
    private long takenBytes;
    private int openWrites;
    private boolean needed = true;

    /** Creates an empty body that its request needs. */
    RequestBody(BodyBudget budget) {
        this.budget = budget;
    }

    /** Takes memory for a body of the given length; returns false if the budget is used up. */
    boolean reserve(int length) {
        return length <= takenBytes || resize(length);
    }

    /** Appends a part of the body; returns false if the budget is used up. */
    boolean append(Buffer part) {
        int neededBytes = bytes.length() + part.length();
        boolean fits = neededBytes <= takenBytes || resize(grownBytes(neededBytes));
        if (fits) {
            bytes.appendBuffer(part);
        }
        return fits;
    }

    Buffer bytes() {
        return bytes;
    }

    /**
     * Ends a request to an endpoint with the body.
     *
     * @return completes once the body is written, or fails with the connection
     */
    Future<Void> sendTo(HttpClientRequest request) {
        openWrites++;
        try {
            return request.end(bytes).onComplete(done -> endWrite());
        } catch (RuntimeException notSent) {
            endWrite();
            throw notSent;
        }
    }

    /** Ends the request's need of the bytes; has no effect if called again. */
    void release() {
        needed = false;
        giveBackIfUnused();
    }

    private void endWrite() {
        openWrites--;
        giveBackIfUnused();
    }

    private void giveBackIfUnused() {
        if (!needed && openWrites == 0) {
            bytes = Buffer.buffer();
            budget.giveBack(takenBytes);
            takenBytes = 0;
        }
    }

    private long grownBytes(int neededBytes) {
        return Math.max(neededBytes, Math.max(MIN_GROWN_BYTES, 2 * takenBytes));
    }

    /** Takes the whole new size before the old one is given back, as both exist at once. */
    private boolean resize(long newBytes) {
        if (!budget.take(newBytes)) {
            return false;
        }
        bytes = Buffer.buffer((int) newBytes).appendBuffer(bytes);
        budget.giveBack(takenBytes);
        takenBytes = newBytes;
        return true;
    }
}

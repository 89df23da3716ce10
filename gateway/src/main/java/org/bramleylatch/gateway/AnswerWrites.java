package org.bramleylatch.gateway;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tracks the answers whose end is decided but not yet written to their callers, so that a stopping
 * process exits after them.
 */
final class AnswerWrites {
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private int openWrites;

    /**
     * Adds the write of an answer.
     *
     * @param written completes once the last byte is written, or fails with the connection
     */
    void add(Future<Void> written) {
        openWrites++;
        written.onComplete(done -> end());
    }

    /** Returns the number of open writes. */
    int count() {
        return openWrites;
    }

    /** Returns a future that completes once no write is open. */
    CompletableFuture<Void> whenDone() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        waiting.add(done);
        completeIfDone();
        return done;
    }

    private void end() {
        openWrites--;
        completeIfDone();
    }

    private void completeIfDone() {
        if (openWrites == 0) {
            List<CompletableFuture<Void>> done = List.copyOf(waiting);
            waiting.clear();
            done.forEach(future -> future.complete(null));
        }
    }
}

package org.bramleylatch.gateway;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.edge.ListeningSocket;

/**
 * Closes callers' connections during a planned stop: each tick those on which nothing of a request
 * was read since the tick before. Open requests are answered first, by their owners.
 */
final class CallerDrain {
    /**
     * Each tick is timed from the one before, so that the event loop reads from all connections in
     * between.
     */
    private static final long TICK_MILLIS = 50;

    private final Vertx vertx;
    private final CallerConnections connections;
    private final ConsecutiveCheck<HttpConnection> idleCheck = new ConsecutiveCheck<>();
    private final ConsecutiveCheck<CallerConnections> emptyCheck = new ConsecutiveCheck<>();
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private boolean listening = true;

    CallerDrain(Vertx vertx, CallerConnections connections) {
        this.vertx = vertx;
        this.connections = connections;
    }

    /** Closes idle connections from now on; called on the event loop. */
    void start() {
        vertx.setTimer(
                TICK_MILLIS,
                ignored -> {
                    tick();
                    start();
                });
    }

    /**
     * Accepts no more connections; called on the event loop.
     *
     * @return completes once no connection is open
     */
    CompletableFuture<Void> finish() {
        Context context = vertx.getOrCreateContext();
        connections
                .listeningSocket()
                .map(ListeningSocket::close)
                .orElseGet(() -> CompletableFuture.completedFuture(null))
                .thenRun(() -> context.runOnContext(closed -> listening = false));
        return finished;
    }

    private void tick() {
        idleCheck
                .findFailing(connections.open(), connection -> !connections.isIdle(connection))
                .forEach(connections::end);
        boolean isEmpty =
                !emptyCheck
                        .findFailing(List.of(connections), one -> listening || one.count() > 0)
                        .isEmpty();
        if (isEmpty) {
            finished.complete(null);
        }
    }
}

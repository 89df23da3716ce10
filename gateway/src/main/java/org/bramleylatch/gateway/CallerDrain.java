package org.bramleylatch.gateway;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.edge.ListeningSocket;

/**
 * Closes callers' connections during a planned stop: each tick those on which nothing of a request
 * was read since the tick before. Open requests are answered first, by their owners.
 */
final class CallerDrain {
    private static final long TICK_MILLIS = 50;

    private final Vertx vertx;
    private final InstantSource clock;
    private final CallerConnections connections;
    private final ConsecutiveCheck<HttpConnection> idleCheck = new ConsecutiveCheck<>();
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private boolean listening = true;
    private boolean closing;
    private boolean wasEmpty;

    CallerDrain(Vertx vertx, InstantSource clock, CallerConnections connections) {
        this.vertx = vertx;
        this.clock = clock;
        this.connections = connections;
    }

    /** Closes idle connections from now on; called on the event loop. */
    void start() {
        new TimelyTicks(vertx, clock, TICK_MILLIS, this::tick).start();
    }

    /** Accepts no more connections; called on the event loop. */
    void stopListening() {
        if (!closing) {
            closing = true;
            Context context = vertx.getOrCreateContext();
            connections
                    .listeningSocket()
                    .map(ListeningSocket::close)
                    .orElseGet(() -> CompletableFuture.completedFuture(null))
                    .thenRun(() -> context.runOnContext(ignored -> listening = false));
        }
    }

    /**
     * Accepts no more connections; called on the event loop.
     *
     * @return completes once no connection is open
     */
    CompletableFuture<Void> finish() {
        stopListening();
        return finished;
    }

    private void tick() {
        idleCheck
                .findFailing(connections.open(), connection -> !connections.isIdle(connection))
                .forEach(connections::end);
        boolean isEmpty = !listening && connections.count() == 0;
        if (isEmpty && wasEmpty) {
            finished.complete(null);
        }
        wasEmpty = isEmpty;
    }
}

package org.bramleylatch.gateway;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.time.InstantSource;
import java.util.Optional;
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
    private boolean mayListen = true;
    private boolean closeBegun;
    private boolean socketClosed;
    private boolean finishing;
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
        mayListen = false;
        closeListeningSocket();
    }

    /** Closes the socket once it is known, which is with the first connection. */
    private void closeListeningSocket() {
        Optional<ListeningSocket> socket = connections.listeningSocket();
        if (!mayListen && !closeBegun && socket.isPresent()) {
            closeBegun = true;
            Context context = vertx.getOrCreateContext();
            socket.get()
                    .close()
                    .thenRun(() -> context.runOnContext(ignored -> socketClosed = true));
        }
    }

    /**
     * Accepts no more connections; called on the event loop.
     *
     * @return completes once no connection is open
     */
    CompletableFuture<Void> finish() {
        stopListening();
        finishing = true;
        return finished;
    }

    private void tick() {
        idleCheck
                .findFailing(connections.open(), connection -> !connections.isIdle(connection))
                .forEach(connections::end);
        closeListeningSocket();
        boolean isClosed = !mayListen && (socketClosed || !closeBegun);
        boolean isEmpty = isClosed && connections.count() == 0;
        if (finishing && isEmpty && wasEmpty) {
            finished.complete(null);
        }
        wasEmpty = isEmpty;
    }
}

package org.bramleylatch.gateway;

import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;

/**
 * Decides which requests a connection to an endpoint may carry. An answer names its request by the
 * id alone, and a faulty endpoint may write it a second time, late. So no connection carries an id
 * twice: then a whole answer that names a request can't be a copy of the answer to an earlier one.
 */
final class EndpointConnections {
    private final Map<HttpConnection, EndpointConnectionRow> rows = new WeakHashMap<>();
    private long connectionCount;

    /** Adds a connection that the pool has handed out; has no effect if it is known. */
    void add(HttpConnection connection) {
        if (!rows.containsKey(connection)) {
            connectionCount++;
            rows.put(connection, EndpointConnectionRow.unused(connectionCount));
            connection.closeHandler(
                    closed -> rows.computeIfPresent(connection, (key, row) -> row.asClosed()));
        }
    }

    /**
     * Assigns a request to a connection that was added.
     *
     * @return the place of the request; empty if the connection must not carry it
     */
    Optional<ConnectionUse> assign(HttpConnection connection, String requestId) {
        EndpointConnectionRow row = rows.get(connection);
        if (!row.mayCarry(requestId)) {
            return Optional.empty();
        }
        EndpointConnectionRow next = row.withRequest(requestId);
        rows.put(connection, next);
        return Optional.of(next.latestUse());
    }

    /** Returns true if a connection that was added may carry no further request. */
    boolean isFull(HttpConnection connection) {
        return rows.get(connection).isFull();
    }

    /** Returns true if a connection that was added has carried no request. */
    boolean isUnused(HttpConnection connection) {
        return rows.get(connection).isUnused();
    }
}

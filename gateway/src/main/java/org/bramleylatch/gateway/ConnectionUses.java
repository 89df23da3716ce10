package org.bramleylatch.gateway;

import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;

/** Numbers the connections to endpoints and the requests that were sent on each. */
final class ConnectionUses {
    private final Map<HttpConnection, ConnectionUse> latestUses = new WeakHashMap<>();
    private long connectionCount;

    /** Counts a request and returns its place on its connection. */
    ConnectionUse count(HttpConnection connection) {
        ConnectionUse use =
                Optional.ofNullable(latestUses.get(connection))
                        .map(ConnectionUse::next)
                        .orElseGet(this::firstUse);
        latestUses.put(connection, use);
        return use;
    }

    private ConnectionUse firstUse() {
        connectionCount++;
        return new ConnectionUse(connectionCount, 1);
    }
}

package org.bramleylatch.gateway;

import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.WeakHashMap;

/** Counts the requests that were sent on each connection to an endpoint. */
final class ConnectionUses {
    private final Map<HttpConnection, Integer> usesByConnection = new WeakHashMap<>();

    /** Counts a request and returns the number of requests on its connection, from 1. */
    int count(HttpConnection connection) {
        return usesByConnection.merge(connection, 1, Integer::sum);
    }
}

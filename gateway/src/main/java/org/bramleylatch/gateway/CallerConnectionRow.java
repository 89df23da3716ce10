package org.bramleylatch.gateway;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.bramleylatch.platform.CallerLimits;

/**
 * Describes a caller's open connection.
 *
 * @param phase what the process waits for
 * @param request the request that the phase belongs to; empty between requests
 * @param sinceMillis when the phase began
 * @param patienceMillis how long the phase may last at least
 * @param onOverdue ends the phase once its time is over
 */
record CallerConnectionRow(
        HttpConnection connection,
        Phase phase,
        Optional<HttpServerRequest> request,
        long sinceMillis,
        long patienceMillis,
        Runnable onOverdue) {
    /** Callers count from when they have read the answer, which a slow one does late. */
    private static final int IDLE_FACTOR = 2;

    /** Names what the process waits for; the caller, unless it says otherwise. */
    enum Phase {
        /** The first byte of a request. */
        IDLE,
        /** The rest of a request's head. */
        HEAD,
        /** The rest of a request's body. */
        BODY,
        /** The answer to a request, from an endpoint, and its last byte. */
        ANSWER,
        /** The rest of a request that was refused. */
        DISCARD
    }

    /** Returns true if the phase lasts too long, by the limits now and at its beginning. */
    boolean isOverdue(long nowMillis, CallerLimits limits) {
        long limitMillis =
                switch (phase) {
                    case IDLE -> IDLE_FACTOR * Math.max(patienceMillis, limits.idleTimeoutMillis());
                    case HEAD -> Math.max(patienceMillis, limits.headerTimeoutMillis());
                    case BODY, DISCARD -> patienceMillis;
                    case ANSWER -> Long.MAX_VALUE;
                };
        return nowMillis - sinceMillis >= limitMillis;
    }
}

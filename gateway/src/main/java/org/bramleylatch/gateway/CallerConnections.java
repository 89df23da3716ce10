package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Table;
import org.bramleylatch.edge.ConnectionReads;
import org.bramleylatch.edge.ListeningSocket;
import org.bramleylatch.gateway.CallerConnectionRow.Phase;
import org.bramleylatch.platform.CallerLimits;

/** Holds callers' open connections, and ends what takes longer than the limits allow. */
final class CallerConnections {
    private static final long CHECK_MILLIS = 250;

    /** Lets a caller that sends 4 MiB at half a megabyte a second read its refusal. */
    private static final long MAX_DISCARD_MILLIS = 10_000;

    private final InstantSource clock;
    private final Supplier<CallerLimits> limits;
    private final Consumer<Event> events;
    private final Table<HttpConnection, CallerConnectionRow> rows = Table.empty();
    private final ConsecutiveCheck<CallerConnectionRow> overdueCheck = new ConsecutiveCheck<>();
    private Optional<ListeningSocket> listeningSocket = Optional.empty();

    /**
     * Creates a table without connections.
     *
     * @param limits supplies the operator's limits in force
     * @param events receives an event for each phase that is ended
     */
    CallerConnections(InstantSource clock, Supplier<CallerLimits> limits, Consumer<Event> events) {
        this.clock = clock;
        this.limits = limits;
        this.events = events;
    }

    /** Returns the number of open connections. */
    int count() {
        return rows.size();
    }

    /** Returns the open connections. */
    List<HttpConnection> open() {
        return rows.keys().toList();
    }

    /** Returns true if nothing of a request was read from the open connection. */
    boolean isIdle(HttpConnection connection) {
        return rows.find(connection).filter(row -> row.phase() == Phase.IDLE).isPresent();
    }

    /** Returns the socket that connections were accepted from; empty if there was none. */
    Optional<ListeningSocket> listeningSocket() {
        return listeningSocket;
    }

    /** Starts to look for phases that last too long; called on the event loop. */
    void start(Vertx vertx) {
        new TimelyTicks(vertx, clock, CHECK_MILLIS, this::endOverdue).start();
    }

    /** Adds a new connection, which is idle. */
    void open(HttpConnection connection) {
        listeningSocket = listeningSocket.or(() -> Optional.of(ListeningSocket.of(connection)));
        connection.closeHandler(closed -> rows.remove(connection));
        rows.put(connection, idle(connection));
        ConnectionReads.onRead(connection, () -> noteBytes(connection));
    }

    /**
     * Begins to wait for the body of a request.
     *
     * @param onOverdue refuses the request once its time is over
     */
    void awaitBody(HttpServerRequest request, long patienceMillis, Runnable onOverdue) {
        enter(request, Phase.BODY, patienceMillis, onOverdue);
    }

    /** Begins to wait for the answer to a request that was read. */
    void awaitAnswer(HttpServerRequest request) {
        enter(request, Phase.ANSWER, 0, () -> {});
    }

    /** Begins to wait for the next request once an answer is written, unless it has begun. */
    void endAnswer(HttpServerRequest request) {
        rows.update(
                request.connection(),
                row ->
                        row.request()
                                .filter(request::equals)
                                .map(ended -> idle(row.connection()))
                                .orElse(row));
    }

    /** Begins to wait for the rest of a refused request, which is discarded. */
    void discard(HttpServerRequest request) {
        enter(request, Phase.DISCARD, MAX_DISCARD_MILLIS, request.connection()::close);
    }

    /**
     * Ends the phases that were overdue at the last check as well: after a pause of the process,
     * what callers sent meanwhile is read in between. A phase that began since then is another one.
     */
    void endOverdue() {
        long nowMillis = clock.millis();
        CallerLimits current = limits.get();
        overdueCheck
                .findFailing(rows.rows().toList(), row -> !row.isOverdue(nowMillis, current))
                .forEach(this::end);
    }

    /** Closes all open connections. */
    void closeAll() {
        open().forEach(HttpConnection::close);
    }

    /** Ends what the connection waits for. */
    void end(HttpConnection connection) {
        rows.find(connection).ifPresent(this::end);
    }

    private void end(CallerConnectionRow row) {
        events.accept(
                Event.of(
                        EventKind.CONNECTION_CLOSED,
                        row.connection().remoteAddress(),
                        "phase="
                                + row.phase()
                                + " phaseMillis="
                                + (clock.millis() - row.sinceMillis())));
        row.onOverdue().run();
    }

    private void noteBytes(HttpConnection connection) {
        rows.update(connection, row -> row.phase() == Phase.IDLE ? headBegins(connection) : row);
    }

    private CallerConnectionRow headBegins(HttpConnection connection) {
        return betweenRequests(connection, Phase.HEAD, limits.get().headerTimeoutMillis());
    }

    private CallerConnectionRow idle(HttpConnection connection) {
        return betweenRequests(connection, Phase.IDLE, limits.get().idleTimeoutMillis());
    }

    private CallerConnectionRow betweenRequests(
            HttpConnection connection, Phase phase, long patienceMillis) {
        return new CallerConnectionRow(
                connection,
                phase,
                Optional.empty(),
                clock.millis(),
                patienceMillis,
                connection::close);
    }

    private void enter(
            HttpServerRequest request, Phase phase, long patienceMillis, Runnable onOverdue) {
        rows.update(
                request.connection(),
                row ->
                        new CallerConnectionRow(
                                row.connection(),
                                phase,
                                Optional.of(request),
                                clock.millis(),
                                patienceMillis,
                                onOverdue));
    }
}

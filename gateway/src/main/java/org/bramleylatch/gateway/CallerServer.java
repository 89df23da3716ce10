package org.bramleylatch.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.bramleylatch.core.Call;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RetryAdvice;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.Digests;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.platform.CallerRequestHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves callers over HTTP: passes their requests to the router and the router's answers back. */
final class CallerServer {
    private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);
    private static final String CLOSED_BY_CALLER = "connection closed by the caller";
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    private final InstantSource clock;
    private final LongSupplier lag;
    private final Consumer<RouterInput> inbox;
    private final RequestMetrics metrics;
    private final Consumer<Event> events;
    private final BooleanSupplier draining;
    private final AnswerWrites writes = new AnswerWrites();
    private final RequestReader reader;
    private final Map<RequestId, CallerExchange> exchanges = new HashMap<>();
    private final ConsecutiveCheck<RequestId> orphanCheck = new ConsecutiveCheck<>();
    private final MessageHandlers<RouterOutput> handlers = handlers();
    private long requestCount;

    /**
     * Creates the server; requests arrive through {@link #handleRequest}.
     *
     * @param lag supplies how many milliseconds requests may have waited before they are read
     * @param events receives an event when an answer begins, when nothing more is written and when
     *     a request is ignored
     * @param onBrokenRequest runs for each request whose connection failed before the request was
     *     read completely
     * @param draining returns true while each connection is to be closed after its next answer, so
     *     that callers connect to another router
     */
    CallerServer(
            InstantSource clock,
            LongSupplier lag,
            Consumer<RouterInput> inbox,
            RequestMetrics metrics,
            Consumer<Event> events,
            Runnable onBrokenRequest,
            RequestReader.Limits limits,
            BooleanSupplier draining) {
        this.clock = clock;
        this.lag = lag;
        this.inbox = inbox;
        this.metrics = metrics;
        this.events = events;
        this.draining = draining;
        this.reader =
                new RequestReader(
                        clock,
                        lag,
                        metrics,
                        events,
                        onBrokenRequest,
                        limits,
                        writes,
                        this::openExchange);
    }

    /** Adds a caller's new connection, whose time is bounded from now on. */
    void handleConnection(HttpConnection connection) {
        reader.connections().open(connection);
    }

    /** Reads a request and passes it to the router, or refuses it. */
    void handleRequest(HttpServerRequest request) {
        reader.read(request);
    }

    /** Starts to end what takes callers too long. */
    void start(Vertx vertx) {
        reader.connections().start(vertx);
    }

    /** Returns the exchange of a request; empty once it was answered or its caller disconnected. */
    Optional<CallerExchange> findExchange(RequestId request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    /**
     * Returns a future that completes once every answer that has ended is written to its caller.
     */
    CompletableFuture<Void> whenAnswersWritten() {
        return writes.whenDone();
    }

    /** Returns the callers' open connections. */
    CallerConnections connections() {
        return reader.connections();
    }

    /** Returns how many answers have ended but are not written to their callers. */
    int unwrittenAnswers() {
        return writes.count();
    }

    /** Sends tokens, an answer or a refusal to the caller of the request that the message names. */
    void handleOutput(RouterOutput output) {
        handlers.accept(output);
    }

    /**
     * Refuses the requests that the router does not know, or breaks off their answers; they may
     * have run.
     *
     * @return how many requests were ended
     */
    int endOrphans(Predicate<RequestId> isKnown) {
        List<RequestId> orphans = orphanCheck.findFailing(exchanges.keySet(), isKnown);
        orphans.forEach(this::endOrphan);
        return orphans.size();
    }

    private void endOrphan(RequestId id) {
        LOG.error("request {} is unknown to the router, refused", id);
        refuse(
                new RouterOutput.Refuse(
                        id, ResultCode.INTERNAL, RunState.UNKNOWN, "request was lost"));
    }

    private MessageHandlers<RouterOutput> handlers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.DeliverTokens.class, this::deliver)
                .on(
                        RouterOutput.FinishAnswer.class,
                        end -> finish(end.request(), e -> e.endStream(isDraining())))
                .on(
                        RouterOutput.DeliverServiceAnswer.class,
                        answer ->
                                finish(
                                        answer.request(),
                                        e ->
                                                e.sendWhole(
                                                        answer.status(),
                                                        answer.body(),
                                                        isDraining())))
                .on(RouterOutput.Refuse.class, this::refuse);
    }

    /** Writes the end of an answer; nothing follows to this caller. */
    private void finish(RequestId id, Function<CallerExchange, Future<Void>> end) {
        closeExchange(id)
                .ifPresent(exchange -> write(id, exchange, e -> noteWritten(id, e, end.apply(e))));
    }

    private void noteWritten(RequestId id, CallerExchange exchange, Future<Void> written) {
        written.onSuccess(done -> noteEnd(id, exchange, "complete"))
                .onFailure(
                        failure ->
                                noteEnd(id, exchange, "end not written: " + failure.getMessage()));
    }

    /** Closes the connection, so that the caller does not take the answer for a complete one. */
    private void breakOff(RequestId id, CallerExchange exchange, String reason) {
        noteEnd(id, exchange, "connection closed by the router: " + reason);
        exchange.closeConnection();
    }

    private void noteEnd(RequestId id, CallerExchange exchange, String outcome) {
        note(
                EventKind.ANSWER_ENDED,
                id,
                exchange,
                exchange.sentStatus().map(status -> " status=" + status).orElse("")
                        + exchange.sentSignatureDigest()
                                .map(digest -> " signature=" + digest)
                                .orElse("")
                        + " "
                        + outcome);
    }

    private void note(EventKind kind, RequestId id, CallerExchange exchange, String detail) {
        long ageMillis = clock.millis() - exchange.arrivedMillis();
        events.accept(Event.of(kind, id, "request=" + id + " ageMillis=" + ageMillis + detail));
    }

    /**
     * Writes a part of an answer; closes the connection of a caller whose part can't be written.
     */
    private void write(RequestId id, CallerExchange exchange, Consumer<CallerExchange> part) {
        try {
            part.accept(exchange);
        } catch (RuntimeException failure) {
            LOG.error("answer of request={} could not be written, connection closed", id, failure);
            closeExchange(id);
            inbox.accept(new RouterInput.CallerDisconnected(id));
            breakOff(id, exchange, "answer could not be written");
        }
    }

    private void openExchange(CallerExchange exchange) {
        requestCount++;
        RequestId id = RequestId.of(exchange.head().id() + "~" + requestCount);
        exchanges.put(id, exchange);
        metrics.setOpenRequests(exchanges.size());
        exchange.request().response().closeHandler(closed -> handleDisconnect(id));
        exchange.request().response().exceptionHandler(failure -> handleFailure(id, exchange));
        inbox.accept(new RouterInput.CallArrived(toCall(id, exchange)));
    }

    private Call toCall(RequestId id, CallerExchange exchange) {
        CallerRequestHead head = exchange.head();
        return new Call(
                id,
                RequestKey.of(exchange.arrivedMillis(), RandomIds.bits()),
                head.host(),
                exchange.request().path(),
                head.apiKey().map(Digests::sha256),
                head.promptTokens(),
                head.maxAnswerTokens(),
                head.sharedPrefixTokens(),
                head.prefixHash(),
                head.sharedPartIds(),
                exchange.fingerprint(),
                exchange.arrivedMillis(),
                exchange.readMillis(),
                Math.max(exchange.arrivedMillis(), clock.millis() - lag.getAsLong()),
                head.callerTimeoutMillis().orElse(DEFAULT_TIMEOUT_MILLIS));
    }

    private void handleDisconnect(RequestId id) {
        closeExchange(id)
                .ifPresent(
                        exchange -> {
                            noteEnd(id, exchange, CLOSED_BY_CALLER);
                            inbox.accept(new RouterInput.CallerDisconnected(id));
                        });
    }

    private void handleFailure(RequestId id, CallerExchange exchange) {
        handleDisconnect(id);
        exchange.closeConnection();
    }

    private Optional<CallerExchange> closeExchange(RequestId id) {
        Optional<CallerExchange> exchange = Optional.ofNullable(exchanges.remove(id));
        exchange.ifPresent(CallerExchange::releaseBody);
        metrics.setOpenRequests(exchanges.size());
        return exchange;
    }

    private void deliver(RouterOutput.DeliverTokens deliver) {
        findExchange(deliver.request())
                .ifPresent(
                        e -> write(deliver.request(), e, exchange -> deliver(exchange, deliver)));
    }

    private void deliver(CallerExchange exchange, RouterOutput.DeliverTokens deliver) {
        boolean isFirst = !exchange.isStarted();
        exchange.sendEvent(deliver.text());
        if (isFirst) {
            metrics.observeFirstTokenMillis(clock.millis() - exchange.arrivedMillis());
            note(EventKind.ANSWER_STARTED, deliver.request(), exchange, "");
        }
        if (exchange.request().response().writeQueueFull()) {
            inbox.accept(new RouterInput.CallerPaused(deliver.request(), true));
            exchange.request()
                    .response()
                    .drainHandler(
                            drained ->
                                    inbox.accept(
                                            new RouterInput.CallerPaused(
                                                    deliver.request(), false)));
        }
    }

    private void refuse(RouterOutput.Refuse refuse) {
        metrics.countRefusal(refuse.code());
        RequestId id = refuse.request();
        if (findExchange(id).filter(CallerExchange::isStarted).isPresent()) {
            closeExchange(id).ifPresent(begun -> breakOff(id, begun, refuse.code().name()));
        } else {
            boolean close = isDraining() || RetryAdvice.isForAnotherVm(refuse.code());
            finish(id, exchange -> exchange.refuse(refuse, close));
        }
    }

    private boolean isDraining() {
        return draining.getAsBoolean();
    }
}

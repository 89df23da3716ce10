package org.bramleylatch.gateway;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.time.InstantSource;
import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.platform.CallerLimits;
import org.bramleylatch.platform.CallerRequestHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads callers' requests, and refuses those that exceed a limit or can't be read. */
final class RequestReader {
    private static final Logger LOG = LoggerFactory.getLogger(RequestReader.class);

    /** Bounds the time of a body whose caller names no timeout, or a longer one. */
    private static final long MAX_BODY_MILLIS = 60_000;

    private final InstantSource clock;
    private final LongSupplier lag;
    private final RequestMetrics metrics;
    private final Consumer<Event> events;
    private final Runnable onBrokenRequest;
    private final Limits limits;
    private final AnswerWrites writes;
    private final Consumer<CallerExchange> onRead;
    private final CallerConnections connections;
    private final Set<HttpConnection> closingConnections =
            Collections.newSetFromMap(new WeakHashMap<>());

    /**
     * Holds the limits on what callers send.
     *
     * @param ofOperator supplies the operator's limits in force
     * @param bodyBudget bounds what the bodies of all requests take together
     * @param shedding supplies after how many milliseconds the caller of a new request should send
     *     it again, which is then refused before its body is read; empty if requests are served
     */
    record Limits(
            Supplier<CallerLimits> ofOperator,
            BodyBudget bodyBudget,
            Supplier<Optional<Long>> shedding) {}

    /**
     * Creates a reader; requests arrive through {@link #read}.
     *
     * @param lag supplies how many milliseconds requests may have waited before they are read
     * @param onBrokenRequest runs for each request whose connection failed before the request was
     *     read completely
     * @param onRead receives each request that was read
     */
    RequestReader(
            InstantSource clock,
            LongSupplier lag,
            RequestMetrics metrics,
            Consumer<Event> events,
            Runnable onBrokenRequest,
            Limits limits,
            AnswerWrites writes,
            Consumer<CallerExchange> onRead) {
        this.clock = clock;
        this.lag = lag;
        this.metrics = metrics;
        this.events = events;
        this.onBrokenRequest = onBrokenRequest;
        this.limits = limits;
        this.writes = writes;
        this.onRead = onRead;
        this.connections = new CallerConnections(clock, limits.ofOperator(), events);
    }

    /** Returns the callers' connections whose time is bounded. */
    CallerConnections connections() {
        return connections;
    }

    /**
     * Reads a request; one whose body exceeds a limit at the request's start, or the memory that is
     * left, is refused at once. A request behind an answer that closes its connection can't be
     * answered any more, so it is ignored.
     */
    void read(HttpServerRequest request) {
        if (closingConnections.contains(request.connection())) {
            events.accept(
                    Event.of(
                            EventKind.REQUEST_UNREAD,
                            request.remoteAddress(),
                            "path=" + request.path() + " connection is closing"));
            return;
        }
        long nowMillis = clock.millis();
        ArrivalTime arrival = new ArrivalTime(nowMillis - lag.getAsLong(), nowMillis);
        RequestBody body = new RequestBody(limits.bodyBudget());
        request.exceptionHandler(
                failure -> {
                    body.release();
                    onBrokenRequest.run();
                });
        BodyReader reader =
                new BodyReader(
                        request,
                        limits.ofOperator().get().maxBodyBytes(),
                        body,
                        code ->
                                refuseEarly(
                                        request, body, arrival, refusal(code, describe(request))));
        connections.awaitBody(
                request,
                bodyPatienceMillis(request),
                () -> reader.giveUp(ResultCode.DEADLINE_EXCEEDED));
        limits.shedding()
                .get()
                .ifPresentOrElse(
                        retryMillis -> shed(request, body, arrival, retryMillis),
                        () -> reader.read(() -> readHead(request, body, arrival)));
    }

    private static long bodyPatienceMillis(HttpServerRequest request) {
        return CallerRequestHead.timeoutMillis(request)
                .map(timeoutMillis -> Math.min(timeoutMillis, MAX_BODY_MILLIS))
                .orElse(MAX_BODY_MILLIS);
    }

    private void readHead(HttpServerRequest request, RequestBody body, ArrivalTime arrival) {
        connections.awaitAnswer(request);
        try {
            CallerRequestHead head = CallerRequestHead.of(request);
            onRead.accept(newExchange(request, head, body, arrival));
        } catch (ResultException refused) {
            refuse(request, body, arrival, refused);
        } catch (RuntimeException failure) {
            LOG.error("request could not be read", failure);
            refuse(
                    request,
                    body,
                    arrival,
                    ResultException.of(ResultCode.INTERNAL, "request could not be read"));
        }
    }

    /** Refuses a request that was read but can't be passed on. */
    private void refuse(
            HttpServerRequest request,
            RequestBody body,
            ArrivalTime arrival,
            ResultException refused) {
        metrics.countRefusal(refused.code());
        body.release();
        newExchange(request, CallerRequestHead.empty(), body, arrival)
                .refuse(refusal(refused.code(), refused.getMessage()), true);
    }

    /** Refuses a request that this VM can't serve in time before its body is read. */
    private void shed(
            HttpServerRequest request, RequestBody body, ArrivalTime arrival, long retryMillis) {
        request.handler(unread -> {});
        refuseEarly(
                request,
                body,
                arrival,
                new RouterOutput.Refuse(
                        RequestId.of(""),
                        ResultCode.VM_OVERLOADED,
                        RunState.NOT_RUN,
                        "this VM can't keep up",
                        Optional.of(retryMillis)));
    }

    /**
     * Refuses a request whose body is still being sent. Closing a connection with unread bytes
     * resets it, which can destroy the refusal, so the rest of the body is read and dropped first.
     */
    private void refuseEarly(
            HttpServerRequest request,
            RequestBody body,
            ArrivalTime arrival,
            RouterOutput.Refuse refusal) {
        metrics.countRefusal(refusal.code());
        events.accept(
                Event.of(
                        EventKind.REQUEST_REFUSED,
                        request.remoteAddress(),
                        refusal.code()
                                + CallerRequestHead.requestId(request)
                                        .map(id -> " request=" + id)
                                        .orElse("")
                                + " "
                                + refusal.detail()));
        CallerExchange exchange = newExchange(request, CallerRequestHead.empty(), body, arrival);
        exchange.refuseEarly(refusal);
        request.endHandler(end -> exchange.endEarlyRefusal());
        request.exceptionHandler(left -> LOG.debug("caller left a refused request", left));
        connections.discard(request);
    }

    private String describe(HttpServerRequest request) {
        return "body of "
                + BodyReader.declaredBytes(request).stream()
                        .mapToObj(Long::toString)
                        .findFirst()
                        .orElse("unknown")
                + " bytes, bodies in memory="
                + limits.bodyBudget().usedBytes();
    }

    private static RouterOutput.Refuse refusal(ResultCode code, String detail) {
        return new RouterOutput.Refuse(RequestId.of(""), code, RunState.NOT_RUN, detail);
    }

    private CallerExchange newExchange(
            HttpServerRequest request,
            CallerRequestHead head,
            RequestBody body,
            ArrivalTime arrival) {
        CallerExchange exchange = new CallerExchange(request, head, body, arrival, writes);
        exchange.onClosing(() -> closingConnections.add(request.connection()));
        exchange.onWritten(() -> connections.endAnswer(request));
        return exchange;
    }
}

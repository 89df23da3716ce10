package org.bramleylatch.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.Call;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.Digests;
import org.bramleylatch.edge.Incarnations;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.platform.CallHead;

/** Turns callers' HTTP requests into messages and messages into their answers. */
final class CallerSide {
    private static final long PATIENCE_MILLIS = 30_000;

    private final InstantSource clock;
    private final Consumer<RouterInput> inbox;
    private final RequestMetrics metrics;
    private final Runnable broken;
    private final IntSupplier mostBodyBytes;
    private final BooleanSupplier draining;
    private final Map<RequestId, CallerExchange> exchanges = new HashMap<>();
    private final MessageHandlers<RouterOutput> carriers = carriers();
    private long count;

    /**
     * Makes the side; no request is taken yet.
     *
     * @param broken is run for each request that broke off before it was read
     * @param draining tells whether callers should open their next connection elsewhere
     */
    CallerSide(
            InstantSource clock,
            Consumer<RouterInput> inbox,
            RequestMetrics metrics,
            Runnable broken,
            IntSupplier mostBodyBytes,
            BooleanSupplier draining) {
        this.clock = clock;
        this.inbox = inbox;
        this.metrics = metrics;
        this.broken = broken;
        this.mostBodyBytes = mostBodyBytes;
        this.draining = draining;
    }

    /** Takes a request. */
    void handle(HttpServerRequest request) {
        long arrivedMillis = clock.millis();
        Buffer body = Buffer.buffer();
        request.handler(
                bytes -> {
                    if (body.length() <= mostBodyBytes.getAsInt()) {
                        body.appendBuffer(bytes);
                    }
                });
        request.exceptionHandler(failure -> broken.run());
        request.endHandler(end -> read(request, body, arrivedMillis));
    }

    /** Returns a request whose caller still waits. */
    Optional<CallerExchange> exchange(RequestId request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    /** Carries a message to the caller that it names. */
    void carry(RouterOutput output) {
        carriers.accept(output);
    }

    private MessageHandlers<RouterOutput> carriers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.DeliverTokens.class, this::deliver)
                .on(
                        RouterOutput.FinishAnswer.class,
                        end -> close(end.request()).ifPresent(e -> e.finish(isDraining())))
                .on(
                        RouterOutput.DeliverService.class,
                        answer ->
                                close(answer.request())
                                        .ifPresent(
                                                e ->
                                                        e.whole(
                                                                answer.status(),
                                                                answer.body(),
                                                                isDraining())))
                .on(RouterOutput.Refuse.class, this::refuse);
    }

    private void read(HttpServerRequest request, Buffer body, long arrivedMillis) {
        try {
            CallHead head = CallHead.of(request);
            if (body.length() > mostBodyBytes.getAsInt()) {
                throw ResultException.of(ResultCode.BODY_TOO_LARGE, "body");
            }
            open(new CallerExchange(request, head, body, arrivedMillis));
        } catch (ResultException refused) {
            metrics.refused(refused.code());
            CallerExchange exchange =
                    new CallerExchange(request, CallHead.none(), body, arrivedMillis);
            exchange.refuse(refused.code(), RunState.NOT_RUN, refused.getMessage(), true);
        }
    }

    private void open(CallerExchange exchange) {
        count++;
        RequestId id = RequestId.of(exchange.head().id() + "~" + count);
        exchanges.put(id, exchange);
        metrics.setOpen(exchanges.size());
        exchange.request().response().closeHandler(closed -> callerGone(id));
        exchange.request().response().exceptionHandler(failure -> callerGone(id));
        inbox.accept(new RouterInput.CallArrived(call(id, exchange)));
    }

    private Call call(RequestId id, CallerExchange exchange) {
        CallHead head = exchange.head();
        return new Call(
                id,
                RequestKey.of(exchange.arrivedMillis(), Incarnations.randomBits()),
                head.host(),
                exchange.request().path(),
                head.apiKey().map(Digests::sha256),
                head.promptTokens(),
                head.mostTokens(),
                head.sharedTokens(),
                head.prefixHash(),
                exchange.arrivedMillis(),
                head.patienceMillis().orElse(PATIENCE_MILLIS));
    }

    private void callerGone(RequestId id) {
        close(id).ifPresent(exchange -> inbox.accept(new RouterInput.CallerDisconnected(id)));
    }

    private Optional<CallerExchange> close(RequestId id) {
        Optional<CallerExchange> exchange = Optional.ofNullable(exchanges.remove(id));
        metrics.setOpen(exchanges.size());
        return exchange;
    }

    private void deliver(RouterOutput.DeliverTokens deliver) {
        exchange(deliver.request()).ifPresent(exchange -> deliver(exchange, deliver));
    }

    private void deliver(CallerExchange exchange, RouterOutput.DeliverTokens deliver) {
        if (!exchange.isBegun()) {
            metrics.firstToken(clock.millis() - exchange.arrivedMillis());
        }
        exchange.event(deliver.text());
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
        metrics.refused(refuse.code());
        close(refuse.request())
                .ifPresent(
                        exchange ->
                                exchange.refuse(
                                        refuse.code(),
                                        refuse.runState(),
                                        refuse.detail(),
                                        isDraining()));
    }

    private boolean isDraining() {
        return draining.getAsBoolean();
    }
}

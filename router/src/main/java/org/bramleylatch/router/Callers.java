package org.bramleylatch.router;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.MemberRow;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RequestSpec;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.RouteRow;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.ChatText;
import org.bramleylatch.edge.Digests;
import org.bramleylatch.edge.Incarnations;
import org.bramleylatch.edge.Problem;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.wire.Json;

/** Turns callers' HTTP requests into messages and messages into their answers. */
final class Callers {
    private static final String BEARER = "Bearer ";
    private static final String KEY_HEADER = "idempotency-key";
    private static final String TIMEOUT_HEADER = "x-timeout-millis";
    private static final long TIMEOUT_MILLIS = 120_000;
    private static final int TOO_LARGE = 413;

    private final InstantSource clock;
    private final int mostBodyBytes;
    private final RouterWorld world;
    private final Consumer<RouterInput> inbox;
    private final RequestMetrics metrics;
    private final Map<RequestId, Exchange> exchanges = new HashMap<>();
    private final MessageHandlers<RouterOutput> carriers = carriers();
    private long count;

    Callers(
            InstantSource clock,
            int mostBodyBytes,
            RouterWorld world,
            Consumer<RouterInput> inbox,
            RequestMetrics metrics) {
        this.clock = clock;
        this.mostBodyBytes = mostBodyBytes;
        this.world = world;
        this.inbox = inbox;
        this.metrics = metrics;
    }

    /** Adds the callers' API. */
    void mount(Router web) {
        web.route().handler(BodyHandler.create(false).setBodyLimit(mostBodyBytes));
        web.post("/v1/chat/completions").handler(call -> attempt(call, this::chat));
        web.route().handler(call -> attempt(call, this::service));
        web.errorHandler(TOO_LARGE, call -> refuse(call, ResultCode.BODY_TOO_LARGE, ""));
    }

    /** Returns the body and head of a request whose caller still waits. */
    Optional<Exchange> exchange(RequestId request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    /** Carries a message to the caller that it names. */
    void carry(RouterOutput output) {
        carriers.accept(output);
    }

    private MessageHandlers<RouterOutput> carriers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.DeliverTokens.class, this::deliver)
                .on(RouterOutput.FinishAnswer.class, this::finish)
                .on(RouterOutput.DeliverService.class, this::deliverService)
                .on(RouterOutput.Refuse.class, this::refuse);
    }

    private void deliver(RouterOutput.DeliverTokens deliver) {
        exchange(deliver.request()).ifPresent(exchange -> deliver(exchange, deliver));
    }

    private void finish(RouterOutput.FinishAnswer finish) {
        close(finish.request())
                .ifPresent(
                        exchange ->
                                exchange.finish(
                                        finish.reason(),
                                        finish.promptTokens(),
                                        finish.answerTokens()));
    }

    private void deliverService(RouterOutput.DeliverService deliver) {
        close(deliver.request())
                .map(Exchange::response)
                .ifPresent(
                        response ->
                                response.setStatusCode(deliver.status())
                                        .putHeader("content-type", "application/json")
                                        .end(deliver.body()));
    }

    private void refuse(RouterOutput.Refuse refuse) {
        metrics.refused(refuse.code());
        close(refuse.request())
                .ifPresent(
                        exchange -> exchange.refuse(refuse.code(), refuse.runState(), refuse.detail()));
    }

    private void attempt(RoutingContext call, Consumer<RoutingContext> handler) {
        try {
            handler.accept(call);
        } catch (ResultException refused) {
            refuse(call, refused.code(), refused.getMessage());
        }
    }

    private void chat(RoutingContext call) {
        MemberRow member = member(call.request());
        JsonNode body = Json.readTree(call.body().asString());
        String model = text(body, "model");
        RouteRow route =
                world.configuration()
                        .chatRoute(model)
                        .orElseThrow(() -> ResultException.of(ResultCode.UNKNOWN_MODEL, model));
        String prompt = ChatText.prompt(checkedMessages(body));
        boolean streamed = body.path("stream").asBoolean(false);
        RequestId id = nextId();
        String text = call.body().asString();
        Exchange exchange =
                streamed
                        ? new StreamedChat(call.request(), text, clock.millis(), id.value(), model)
                        : new WholeAnswer(call.request(), text, clock.millis(), id.value(), model);
        open(
                id,
                exchange,
                spec(
                        id,
                        call,
                        member,
                        route,
                        new Size(
                                ChatText.tokens(prompt),
                                mostTokens(body),
                                ChatText.prefixHash(prompt))));
    }

    private void service(RoutingContext call) {
        MemberRow member = member(call.request());
        String path = call.request().path();
        RouteRow route =
                world.configuration()
                        .serviceRoute(path)
                        .orElseThrow(() -> ResultException.of(ResultCode.UNKNOWN_ROUTE, path));
        RequestId id = nextId();
        String body = call.body().asString() == null ? "" : call.body().asString();
        Exchange exchange = new WholeAnswer(call.request(), body, clock.millis(), id.value(), "");
        open(id, exchange, spec(id, call, member, route, new Size(0, 0, 0)));
    }

    private RequestSpec spec(
            RequestId id, RoutingContext call, MemberRow member, RouteRow route, Size size) {
        Optional<RequestKey> given = givenKey(call.request());
        RequestKey key =
                given.orElseGet(() -> RequestKey.of(clock.millis(), Incarnations.randomBits()));
        return new RequestSpec(
                id,
                key.scopedTo(member.budget()),
                given.isPresent(),
                member.budget(),
                route,
                size.promptTokens,
                size.mostTokens,
                size.prefixHash,
                clock.millis() + timeoutMillis(call.request()));
    }

    private void open(RequestId id, Exchange exchange, RequestSpec spec) {
        HttpServerResponse response = exchange.response();
        exchanges.put(id, exchange);
        metrics.setOpen(exchanges.size());
        response.closeHandler(closed -> callerGone(id));
        response.exceptionHandler(failure -> callerGone(id));
        inbox.accept(new RouterInput.RequestArrived(spec));
    }

    private void callerGone(RequestId id) {
        close(id).ifPresent(exchange -> inbox.accept(new RouterInput.CallerDisconnected(id)));
    }

    private Optional<Exchange> close(RequestId id) {
        Optional<Exchange> exchange = Optional.ofNullable(exchanges.remove(id));
        metrics.setOpen(exchanges.size());
        return exchange;
    }

    private void deliver(Exchange exchange, RouterOutput.DeliverTokens deliver) {
        if (exchange.response().bytesWritten() == 0) {
            metrics.firstToken(clock.millis() - exchange.arrivedMillis());
        }
        exchange.tokens(deliver.text());
        if (exchange.response().writeQueueFull()) {
            inbox.accept(new RouterInput.CallerPaused(deliver.request(), true));
            exchange.response()
                    .drainHandler(
                            drained ->
                                    inbox.accept(
                                            new RouterInput.CallerPaused(
                                                    deliver.request(), false)));
        }
    }

    private MemberRow member(HttpServerRequest request) {
        String header = request.getHeader("authorization");
        if (header == null || !header.startsWith(BEARER)) {
            throw ResultException.of(ResultCode.UNAUTHENTICATED, "no bearer key");
        }
        return world.configuration()
                .member(Digests.sha256(header.substring(BEARER.length())))
                .orElseThrow(() -> ResultException.of(ResultCode.UNAUTHENTICATED, "unknown key"));
    }

    private static Optional<RequestKey> givenKey(HttpServerRequest request) {
        Optional<String> text = Optional.ofNullable(request.getHeader(KEY_HEADER));
        Optional<RequestKey> key = text.flatMap(RequestKey::parse);
        if (text.isPresent() && key.isEmpty()) {
            throw ResultException.of(ResultCode.IDEMPOTENCY_KEY_MALFORMED, "send a version 7 UUID");
        }
        return key;
    }

    private static JsonNode checkedMessages(JsonNode body) {
        if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
            throw ResultException.of(ResultCode.FIELD_INVALID, "messages: an array is needed");
        }
        return body;
    }

    private static String text(JsonNode body, String field) {
        if (!body.path(field).isTextual()) {
            throw ResultException.of(ResultCode.FIELD_INVALID, field + ": a string is needed");
        }
        return body.path(field).asText();
    }

    private static long mostTokens(JsonNode body) {
        JsonNode most = body.path("max_tokens");
        if (!most.isMissingNode() && (!most.isIntegralNumber() || most.asLong() <= 0)) {
            throw ResultException.of(
                    ResultCode.FIELD_INVALID, "max_tokens: a positive whole number is needed");
        }
        return most.asLong(ChatText.DEFAULT_MOST_TOKENS);
    }

    private static long timeoutMillis(HttpServerRequest request) {
        String text = request.getHeader(TIMEOUT_HEADER);
        try {
            return text == null ? TIMEOUT_MILLIS : Long.parseLong(text);
        } catch (NumberFormatException notANumber) {
            throw ResultException.of(ResultCode.FIELD_INVALID, TIMEOUT_HEADER + ": " + text);
        }
    }

    private RequestId nextId() {
        count++;
        return RequestId.of("chatcmpl-" + world.self().value() + "-" + count);
    }

    private static void refuse(RoutingContext call, ResultCode code, String detail) {
        Problem.of(code, RunState.NOT_RUN, detail).send(call.response());
    }

    private record Size(long promptTokens, long mostTokens, long prefixHash) {}
}

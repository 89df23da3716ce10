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
import org.bramleylatch.core.MemberRow;
import org.bramleylatch.core.MessageHandlers;
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
import org.bramleylatch.edge.Problem;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.wire.Json;

/**
 * Serves the callers' HTTP API: authenticates and checks requests, hands them to the router's world
 * and writes the world's answers. A request that fails a check here is refused as {@link
 * RunState#NOT_RUN}.
 */
final class CallerServer {
    private static final String BEARER = "Bearer ";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final String TIMEOUT_HEADER = "x-timeout-millis";
    private static final long DEFAULT_TIMEOUT_MILLIS = 120_000;
    private static final int STATUS_TOO_LARGE = 413;

    private final InstantSource clock;
    private final int maxBodyBytes;
    private final RouterWorld world;
    private final Consumer<RouterInput> inbox;
    private final RequestMetrics metrics;
    private final Map<RequestId, CallerExchange> exchanges = new HashMap<>();
    private final MessageHandlers<RouterOutput> handlers = handlers();
    private long requestCount;

    CallerServer(
            InstantSource clock,
            int maxBodyBytes,
            RouterWorld world,
            Consumer<RouterInput> inbox,
            RequestMetrics metrics) {
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
        this.world = world;
        this.inbox = inbox;
        this.metrics = metrics;
    }

    /** Adds the routes of the callers' API; every path but that of chats is a service request. */
    void mount(Router httpRoutes) {
        httpRoutes.route().handler(BodyHandler.create(false).setBodyLimit(maxBodyBytes));
        httpRoutes
                .post("/v1/chat/completions")
                .handler(call -> handleOrRefuse(call, this::receiveChat));
        httpRoutes.route().handler(call -> handleOrRefuse(call, this::receiveServiceRequest));
        httpRoutes.errorHandler(
                STATUS_TOO_LARGE, call -> refuse(call, ResultCode.BODY_TOO_LARGE, ""));
    }

    /**
     * Returns the exchange of an open request; empty once it is answered or its caller
     * disconnected.
     */
    Optional<CallerExchange> findExchange(RequestId request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    /**
     * Delivers tokens, an answer or a refusal to the caller of the request that the message names.
     */
    void handleOutput(RouterOutput output) {
        handlers.accept(output);
    }

    private MessageHandlers<RouterOutput> handlers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.DeliverTokens.class, this::deliverTokens)
                .on(RouterOutput.FinishAnswer.class, this::finishAnswer)
                .on(RouterOutput.DeliverServiceAnswer.class, this::deliverServiceAnswer)
                .on(RouterOutput.Refuse.class, this::refuse);
    }

    private void deliverTokens(RouterOutput.DeliverTokens deliver) {
        findExchange(deliver.request()).ifPresent(exchange -> deliverTokens(exchange, deliver));
    }

    private void finishAnswer(RouterOutput.FinishAnswer finish) {
        closeExchange(finish.request())
                .ifPresent(
                        exchange ->
                                exchange.finish(
                                        finish.reason(),
                                        finish.promptTokens(),
                                        finish.answerTokens()));
    }

    private void deliverServiceAnswer(RouterOutput.DeliverServiceAnswer deliver) {
        closeExchange(deliver.request())
                .map(CallerExchange::response)
                .ifPresent(
                        response ->
                                response.setStatusCode(deliver.status())
                                        .putHeader("content-type", "application/json")
                                        .end(deliver.body()));
    }

    private void refuse(RouterOutput.Refuse refuse) {
        metrics.countRefusal(refuse.code());
        closeExchange(refuse.request())
                .ifPresent(
                        exchange ->
                                exchange.refuse(refuse.code(), refuse.runState(), refuse.detail()));
    }

    private void handleOrRefuse(RoutingContext call, Consumer<RoutingContext> handler) {
        try {
            handler.accept(call);
        } catch (ResultException refused) {
            refuse(call, refused.code(), refused.getMessage());
        }
    }

    private void receiveChat(RoutingContext call) {
        MemberRow member = authenticate(call.request());
        JsonNode body = Json.readTree(call.body().asString());
        String model = requireText(body, "model");
        RouteRow route =
                world.configuration()
                        .chatRoute(model)
                        .orElseThrow(() -> ResultException.of(ResultCode.UNKNOWN_MODEL, model));
        String prompt = ChatText.promptText(requireMessages(body));
        boolean streamed = body.path("stream").asBoolean(false);
        RequestId id = nextId();
        String text = call.body().asString();
        CallerExchange exchange =
                streamed
                        ? new StreamedChat(call.request(), text, clock.millis(), id.value(), model)
                        : new BufferedAnswer(
                                call.request(), text, clock.millis(), id.value(), model);
        openExchange(
                id,
                exchange,
                toSpec(
                        id,
                        call,
                        member,
                        route,
                        new ChatTraits(
                                ChatText.countTokens(prompt),
                                readMaxAnswerTokens(body),
                                ChatText.prefixHash(prompt))));
    }

    private void receiveServiceRequest(RoutingContext call) {
        MemberRow member = authenticate(call.request());
        String path = call.request().path();
        RouteRow route =
                world.configuration()
                        .serviceRoute(path)
                        .orElseThrow(() -> ResultException.of(ResultCode.UNKNOWN_ROUTE, path));
        RequestId id = nextId();
        String body = call.body().asString() == null ? "" : call.body().asString();
        CallerExchange exchange =
                new BufferedAnswer(call.request(), body, clock.millis(), id.value(), "");
        openExchange(id, exchange, toSpec(id, call, member, route, new ChatTraits(0, 0, 0)));
    }

    private RequestSpec toSpec(
            RequestId id, RoutingContext call, MemberRow member, RouteRow route, ChatTraits chat) {
        Optional<RequestKey> callerKey = readIdempotencyKey(call.request());
        RequestKey key = callerKey.orElseGet(() -> RequestKey.of(clock.millis(), RandomIds.bits()));
        return new RequestSpec(
                id,
                key.scopedTo(member.budget()),
                callerKey.isPresent(),
                member.budget(),
                route,
                chat.promptTokens,
                chat.maxAnswerTokens,
                chat.prefixHash,
                clock.millis() + readTimeoutMillis(call.request()));
    }

    private void openExchange(RequestId id, CallerExchange exchange, RequestSpec spec) {
        HttpServerResponse response = exchange.response();
        exchanges.put(id, exchange);
        metrics.setOpenRequests(exchanges.size());
        response.closeHandler(closed -> handleDisconnect(id));
        response.exceptionHandler(failure -> handleDisconnect(id));
        inbox.accept(new RouterInput.RequestArrived(spec));
    }

    private void handleDisconnect(RequestId id) {
        closeExchange(id)
                .ifPresent(exchange -> inbox.accept(new RouterInput.CallerDisconnected(id)));
    }

    private Optional<CallerExchange> closeExchange(RequestId id) {
        Optional<CallerExchange> exchange = Optional.ofNullable(exchanges.remove(id));
        metrics.setOpenRequests(exchanges.size());
        return exchange;
    }

    private void deliverTokens(CallerExchange exchange, RouterOutput.DeliverTokens deliver) {
        if (exchange.response().bytesWritten() == 0) {
            metrics.observeFirstTokenMillis(clock.millis() - exchange.arrivedMillis());
        }
        exchange.deliverTokens(deliver.text());
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

    private MemberRow authenticate(HttpServerRequest request) {
        String header = request.getHeader("authorization");
        if (header == null || !header.startsWith(BEARER)) {
            throw ResultException.of(
                    ResultCode.UNAUTHENTICATED, "the authorization header holds no bearer key");
        }
        return world.configuration()
                .member(Digests.sha256(header.substring(BEARER.length())))
                .orElseThrow(
                        () ->
                                ResultException.of(
                                        ResultCode.UNAUTHENTICATED, "the bearer key is unknown"));
    }

    private static Optional<RequestKey> readIdempotencyKey(HttpServerRequest request) {
        Optional<String> text = Optional.ofNullable(request.getHeader(IDEMPOTENCY_KEY_HEADER));
        Optional<RequestKey> key = text.flatMap(RequestKey::parse);
        if (text.isPresent() && key.isEmpty()) {
            throw ResultException.of(
                    ResultCode.IDEMPOTENCY_KEY_MALFORMED,
                    "the idempotency key is not a version 7 UUID");
        }
        return key;
    }

    private static JsonNode requireMessages(JsonNode body) {
        if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
            throw ResultException.of(
                    ResultCode.FIELD_INVALID, "messages: a non-empty array is required");
        }
        return body;
    }

    private static String requireText(JsonNode body, String field) {
        if (!body.path(field).isTextual()) {
            throw ResultException.of(ResultCode.FIELD_INVALID, field + ": a string is required");
        }
        return body.path(field).asText();
    }

    private static long readMaxAnswerTokens(JsonNode body) {
        JsonNode maxTokens = body.path("max_tokens");
        if (!maxTokens.isMissingNode()
                && (!maxTokens.isIntegralNumber() || maxTokens.asLong() <= 0)) {
            throw ResultException.of(
                    ResultCode.FIELD_INVALID, "max_tokens: a positive integer is required");
        }
        return maxTokens.asLong(ChatText.DEFAULT_MAX_ANSWER_TOKENS);
    }

    private static long readTimeoutMillis(HttpServerRequest request) {
        String text = request.getHeader(TIMEOUT_HEADER);
        try {
            return text == null ? DEFAULT_TIMEOUT_MILLIS : Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            throw ResultException.of(
                    ResultCode.FIELD_INVALID, TIMEOUT_HEADER + ": not an integer: " + text);
        }
    }

    private RequestId nextId() {
        requestCount++;
        return RequestId.of("chatcmpl-" + world.self().value() + "-" + requestCount);
    }

    private static void refuse(RoutingContext call, ResultCode code, String detail) {
        Problem.of(code, RunState.NOT_RUN, detail).send(call.response());
    }

    private record ChatTraits(long promptTokens, long maxAnswerTokens, long prefixHash) {}
}

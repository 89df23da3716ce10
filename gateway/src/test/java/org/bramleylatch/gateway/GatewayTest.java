package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.platform.BootFile;
import org.bramleylatch.platform.LoopbackStore;
import org.bramleylatch.platform.PlatformLimits;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs a complete gateway on loopback with a caller, simulated endpoints and a simulated store. */
class GatewayTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long AWAIT_TIMEOUT_SECONDS = 20;
    private static final String CONFIG =
            """
            {"version": 1,
             "routes": [
              {"name": "chat", "host": "ropes.example", "pathPrefix": "/chat/",
               "kind": "streaming", "service": "llm", "maxAttempts": 2, "resumable": true,
               "sticky": true, "timeoutMs": 15000, "targetLatencyMs": 400},
              {"name": "orders", "host": "ropes.example", "pathPrefix": "/orders/",
               "kind": "unsafe", "service": "app", "maxAttempts": 2, "timeoutMs": 15000,
               "targetLatencyMs": 400}],
             "services": [{"name": "llm", "engine": {"kvCapacity": 100000, "stride": 4}}],
             "tenants": [{"name": "ropes", "apiKeys": ["secret"], "prepaid": 100000}]}
            """;

    private final Vertx vertx = Vertx.vertx();
    private final List<HttpServerRequest> receivedRequests = new CopyOnWriteArrayList<>();
    private LoopbackStore store;
    private GatewayDaemon gateway;

    @BeforeEach
    void start() throws Exception {
        store = LoopbackStore.start(vertx).join();
        Address anyPort = new Address(LOOPBACK, 0);
        BootFile boot =
                new BootFile(
                        "front-1",
                        Zone.of("langnau"),
                        anyPort,
                        anyPort,
                        anyPort,
                        store.address(),
                        300_000,
                        new PlatformLimits(8_000, 200, 56, 10_000));
        gateway =
                GatewayDaemon.start(
                                MonotonicClock.system(),
                                boot,
                                GatewaySettings.read("../deploy/gateway.json"))
                        .join();
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void beforeAConfigurationIsKnownACallerIsToldThatNothingRanAndWhenToRetry() throws Exception {
        Answer answer = call("/chat/1", "secret");
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("retry-after")).isNotEmpty();
        assertThat(answer.header("server-seal")).isEmpty();
    }

    @Test
    void aCompleteStreamReachesItsCallerWithTheSignatureOfItsEndpoint() throws Exception {
        addEndpoint("llm", "i-1", (request, count) -> sendEvents(request, 1, 3));
        configureAndAwaitReady();
        Answer answer = call("/chat/1", "secret");
        assertThat(answer.body()).isEqualTo(event(1) + event(2) + event(3));
        assertThat(answer.header("server-seal")).isEqualTo("seal-1");
    }

    @Test
    void theEndpointReceivesTheWorkspaceThatPaysButNotTheApiKey() throws Exception {
        addEndpoint("app", "i-1", (request, count) -> signed(request).end("done"));
        configureAndAwaitReady();
        assertThat(call("/orders/1", "secret").body()).isEqualTo("done");
        assertThat(receivedRequests.get(0).getHeader("tenant")).isEqualTo("ropes");
        assertThat(receivedRequests.get(0).getHeader("x-api-key")).isNull();
        assertThat(receivedRequests.get(0).getHeader("expect-instance")).isEqualTo("i-1");
        assertThat(receivedRequests.get(0).uri()).isEqualTo("/orders/1?q=%20");
    }

    @Test
    void aRequestWithAnUnknownKeyIsRefusedAndReachesNoEndpoint() throws Exception {
        addEndpoint("app", "i-1", (request, count) -> signed(request).end("done"));
        configureAndAwaitReady();
        assertThat(call("/orders/1", "stolen").status()).isEqualTo(401);
        assertThat(receivedRequests).isEmpty();
    }

    @Test
    void theAnswerToAnotherRequestNeverReachesTheCaller() throws Exception {
        addEndpoint(
                "app",
                "i-1",
                (request, count) ->
                        request.response()
                                .putHeader("request-id", "another")
                                .putHeader("server-seal", "seal-1")
                                .end("not yours"));
        configureAndAwaitReady();
        Answer answer = call("/orders/1", "secret");
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.body()).doesNotContain("not yours");
        assertThat(receivedRequests).hasSize(1);
    }

    @Test
    void aBrokenStreamResumesAtAnotherEndpointAfterItsLastEvent() throws Exception {
        BiConsumer<HttpServerRequest, Integer> breaksFirstStream =
                (request, count) -> {
                    if (count == 1) {
                        signed(request).putHeader("content-type", "text/event-stream");
                        request.response().setChunked(true).write(event(1) + "id: 2\nda");
                        vertx.setTimer(50, ignored -> request.connection().close());
                    } else {
                        sendEvents(
                                request,
                                Integer.parseInt(request.getHeader("last-event-id")) + 1,
                                3);
                    }
                };
        addEndpoint("llm", "i-1", breaksFirstStream);
        addEndpoint("llm", "i-2", breaksFirstStream);
        configureAndAwaitReady();
        assertThat(call("/chat/1", "secret").body()).isEqualTo(event(1) + event(2) + event(3));
        assertThat(receivedRequests).hasSize(2);
    }

    /** Guards against a prompt that is sent from one endpoint to the next and crashes each. */
    @Test
    void aPromptThatCrashedTwoEndpointsIsRefusedAtOnceAndTheStoreKnowsWhy() throws Exception {
        for (int index = 1; index <= 3; index++) {
            addCrashingEndpoint("i-" + index);
        }
        configureAndAwaitReady();
        assertThat(callWithPrompt("5c1e07a2:60,deadbeef:30,e4402b7d:10").status()).isEqualTo(502);
        Answer second = callWithPrompt("5c1e07a2:60,deadbeef:30,91bd3f06:10");
        assertThat(second.status()).isEqualTo(503);
        assertThat(second.body()).contains("PROMPT_QUARANTINED", "not_run");
        assertThat(Double.parseDouble(second.header("retry-after"))).isGreaterThan(20);
        assertThat(receivedRequests).hasSize(2);
        while (!store.newestValue("keyed.bramleylatch.reports").contains("deadbeef")) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @Test
    void aStreamThatEndsWhileTheGatewayStopsIsComplete() throws Exception {
        addEndpoint(
                "llm",
                "i-1",
                (request, count) -> {
                    signed(request).putHeader("content-type", "text/event-stream");
                    request.response().setChunked(true).write(event(1));
                    gateway.stop();
                    vertx.setTimer(300, ignored -> request.response().end(event(2)));
                });
        configureAndAwaitReady();
        assertThat(call("/chat/1", "secret").body()).isEqualTo(event(1) + event(2));
    }

    private void configureAndAwaitReady() throws Exception {
        store.putConfiguration(CONFIG);
        int port = gateway.ports().get(1);
        while (get(port, "/ready").status() != 200) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        while (call("/nowhere", "secret").status() == 503) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private void addEndpoint(
            String service, String id, BiConsumer<HttpServerRequest, Integer> behaviour)
            throws Exception {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    receivedRequests.add(request);
                                    behaviour.accept(request, receivedRequests.size());
                                })
                        .listen(0, LOOPBACK)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        store.putEndpoint(id, service, new Address(LOOPBACK, server.actualPort()));
    }

    /** Adds an endpoint that stops listening and closes its connections once it is asked. */
    private void addCrashingEndpoint(String id) throws Exception {
        HttpServer server = vertx.createHttpServer();
        server.requestHandler(
                request -> {
                    receivedRequests.add(request);
                    server.close();
                    request.connection().close();
                });
        server.listen(0, LOOPBACK)
                .toCompletionStage()
                .toCompletableFuture()
                .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        store.putEndpoint(id, "llm", new Address(LOOPBACK, server.actualPort()));
    }

    private static HttpServerResponse signed(HttpServerRequest request) {
        return request.response()
                .putHeader("request-id", request.getHeader("request-id"))
                .putHeader("server-seal", "seal-1");
    }

    private static void sendEvents(HttpServerRequest request, int first, int last) {
        StringBuilder body = new StringBuilder();
        for (int id = first; id <= last; id++) {
            body.append(event(id));
        }
        signed(request).putHeader("content-type", "text/event-stream").end(body.toString());
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: word\n\n";
    }

    private Answer call(String path, String key) throws Exception {
        return send(options(path, key));
    }

    private Answer callWithPrompt(String parts) throws Exception {
        return send(options("/chat/1", "secret").putHeader("prompt-prefix", parts));
    }

    private RequestOptions options(String path, String key) {
        return new RequestOptions()
                .setHost(LOOPBACK)
                .setPort(gateway.ports().get(0))
                .setMethod(HttpMethod.POST)
                .setURI(path + "?q=%20")
                .putHeader("host", "ropes.example")
                .putHeader("request-id", "request-1")
                .putHeader("deadline-ms", "10000")
                .putHeader("token-counts", "100,50")
                .putHeader("x-api-key", key);
    }

    private Answer get(int port, String path) throws Exception {
        return send(
                new RequestOptions()
                        .setHost(LOOPBACK)
                        .setPort(port)
                        .setMethod(HttpMethod.GET)
                        .setURI(path));
    }

    private Answer send(RequestOptions options) throws Exception {
        return vertx.createHttpClient()
                .request(options)
                .compose(request -> request.send(Buffer.buffer("body")))
                .compose(response -> response.body().map(body -> Answer.of(response, body)))
                .toCompletionStage()
                .toCompletableFuture()
                .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private record Answer(HttpClientResponse head, int status, String body) {

        static Answer of(HttpClientResponse head, Buffer body) {
            return new Answer(head, head.statusCode(), body.toString());
        }

        String header(String name) {
            String value = head.getHeader(name);
            return value == null ? "" : value;
        }
    }
}

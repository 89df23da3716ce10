package org.bramleylatch.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.platform.BootFile;
import org.bramleylatch.platform.CallerLimits;
import org.bramleylatch.platform.LoopbackStore;
import org.bramleylatch.platform.PlatformLimits;
import org.bramleylatch.wire.Address;

/** Runs a complete gateway on loopback; tests act as its callers and endpoints. */
final class GatewayHarness {
    static final String LOOPBACK = "127.0.0.1";
    private static final long AWAIT_TIMEOUT_SECONDS = 20;
    private static final long HEAP_BYTES = 1024 * 1024;
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

    /** The shipped settings, but without a wait for VMs that start at the same time. */
    private static final GatewaySettings SETTINGS =
            new GatewaySettings(9_000, 10_000, 400, 2_000, 60, 500, 1);

    final Vertx vertx = Vertx.vertx();
    final List<HttpServerRequest> receivedRequests = new CopyOnWriteArrayList<>();

    /** Holds the callers' clients, since the runtime closes one that is not reachable. */
    private final List<HttpClient> callerClients = new CopyOnWriteArrayList<>();

    private final List<RawEndpoint> rawEndpoints = new ArrayList<>();

    private LoopbackStore store;
    private GatewayDaemon gateway;

    /** Starts the gateway and its store, without a configuration. */
    void start() throws Exception {
        Address anyPort = new Address(LOOPBACK, 0);
        start(anyPort, anyPort, anyPort);
    }

    /** Starts the gateway at the addresses for callers, readiness checks and peers. */
    void start(Address callers, Address readiness, Address peers) throws Exception {
        store = LoopbackStore.start(vertx).join();
        BootFile boot =
                new BootFile(
                        "front-1",
                        Zone.of("langnau"),
                        callers,
                        readiness,
                        peers,
                        OptionalInt.empty(),
                        store.address(),
                        300_000,
                        new PlatformLimits(8_000, 200, 56, 10_000, 750, 0));
        gateway = GatewayDaemon.start(MonotonicClock.system(), boot, SETTINGS).join();
    }

    void stop() {
        rawEndpoints.forEach(RawEndpoint::close);
        Optional.ofNullable(gateway).ifPresent(started -> started.close().join());
        vertx.close();
    }

    LoopbackStore store() {
        return store;
    }

    GatewayDaemon gateway() {
        return gateway;
    }

    /** Adds an endpoint that answers with any bytes; each connection gets one request. */
    void addRawEndpoint(String service, String id, RawEndpoint.Behavior behavior) throws Exception {
        addRawEndpoint(service, id, RawEndpoint.start(behavior));
    }

    /** Adds an endpoint that was started by its caller; it is closed with the harness. */
    void addRawEndpoint(String service, String id, RawEndpoint endpoint) {
        rawEndpoints.add(endpoint);
        store.putEndpoint(id, service, new Address(LOOPBACK, endpoint.port()));
    }

    /** Publishes the configuration and waits until the gateway serves by it. */
    void configureAndAwaitReady() throws Exception {
        configureAndAwaitReady(CONFIG);
    }

    /**
     * Configures the gateway like {@link #configureAndAwaitReady()}, but so that requests reach
     * their endpoints on a busy machine too: they need no tokens, a retry may wait for longer than
     * an event loop is late, and an endpoint of the back end "llm" is known.
     */
    void configureForABusyMachineAndAwaitReady() throws Exception {
        configureAndAwaitReady(
                CONFIG.replace("\"targetLatencyMs\": 400", "\"targetLatencyMs\": 5000")
                        .replace(", \"prepaid\": 100000", ""));
        while (!callBeyondAnyMemory().body().contains("no endpoint has the memory")) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Configures the gateway so that it takes bodies which exceed the buffers of a connection. */
    void configureForLongBodiesAndAwaitReady() throws Exception {
        configureAndAwaitReady(
                CONFIG.replace(
                        "\"version\": 1,",
                        "\"version\": 1, \"limits\": {\"maxBodyBytes\": 67108864},"));
    }

    /** Sends a request that is refused once an endpoint is known, and before as there is none. */
    private Answer callBeyondAnyMemory() throws Exception {
        return send(options("/chat/1", "secret").putHeader("token-counts", "100000,100000"));
    }

    private void configureAndAwaitReady(String configuration) throws Exception {
        store.putConfiguration(configuration);
        int port = gateway.ports().get(1);
        while (get(port, "/ready").status() != 200) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        while (call("/nowhere", "secret").status() == 503) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Adds an endpoint; its behavior gets the request and the number of requests so far. */
    void addEndpoint(String service, String id, BiConsumer<HttpServerRequest, Integer> behaviour)
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

    /** Returns limits on a heap that holds any body of a test. */
    static RequestReader.Limits bodyLimits(IntSupplier maxBodyBytes) {
        return new RequestReader.Limits(
                () -> new CallerLimits(maxBodyBytes.getAsInt(), 10_000, 60_000),
                BodyBudget.ofHeap(HEAP_BYTES),
                Optional::empty);
    }

    static String event(int id) {
        return "id: " + id + "\ndata: word\n\n";
    }

    /** Sends a request with the key that the configuration knows. */
    Answer call(String path) throws Exception {
        return call(path, "secret");
    }

    Answer call(String path, String key) throws Exception {
        return send(options(path, key));
    }

    /** Sends a request whose caller waits for the given time. */
    Answer callWithin(String path, int timeoutMillis) throws Exception {
        return send(
                options(path, "secret").putHeader("deadline-ms", Integer.toString(timeoutMillis)));
    }

    Answer callWithId(String path, String requestId) throws Exception {
        return send(options(path, "secret").putHeader("request-id", requestId));
    }

    Answer callWithPrompt(String parts) throws Exception {
        return send(options("/chat/1", "secret").putHeader("prompt-prefix", parts));
    }

    Answer callWithBody(String path, Buffer body) throws Exception {
        return send(options(path, "secret"), body);
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
        return send(options, Buffer.buffer("body"));
    }

    private Answer send(RequestOptions options, Buffer body) throws Exception {
        HttpClient client = vertx.createHttpClient();
        callerClients.add(client);
        return client.request(options)
                .compose(request -> request.send(body).compose(Answer::read))
                .toCompletionStage()
                .toCompletableFuture()
                .get(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    record Answer(HttpClientResponse head, int status, String body) {

        /** Reads the body; called on the event loop, before it can drop parts that nobody reads. */
        static Future<Answer> read(HttpClientResponse head) {
            return head.body().map(body -> of(head, body));
        }

        static Answer of(HttpClientResponse head, Buffer body) {
            return new Answer(head, head.statusCode(), body.toString());
        }

        String header(String name) {
            String value = head.getHeader(name);
            return value == null ? "" : value;
        }
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.AttemptRow;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RequestSpec;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RouteRow;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.core.RunState;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.platform.EndpointEntry;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers that wait for a request that the router has lost, against endpoints that
 * work for one, and against attempts that wait for a call that was lost.
 */
class OrphanTest {
    private static final long AWAIT_SECONDS = 10;
    private static final EndpointId ENDPOINT = EndpointId.of("i-1");

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final BlockingQueue<RouterInput> inbox = new LinkedBlockingQueue<>();
    private final CallerServer callers =
            new CallerServer(
                    InstantSource.system(),
                    () -> 0,
                    inbox::add,
                    new RequestMetrics(new PrometheusRegistry(), "test"),
                    event -> {},
                    () -> {},
                    GatewayHarness.bodyLimits(() -> 1_000),
                    () -> false);
    private final CountDownLatch requestSent = new CountDownLatch(1);
    private final CompletableFuture<Boolean> endClosed = new CompletableFuture<>();
    private RawEndpoint endpoint;
    private int port;

    @BeforeEach
    void start() throws Exception {
        endpoint =
                RawEndpoint.start(
                        socket -> {
                            requestSent.countDown();
                            endClosed.complete(socket.getInputStream().read() < 0);
                        });
        port =
                vertx.createHttpServer()
                        .requestHandler(callers::handleRequest)
                        .listen(0, GatewayHarness.LOOPBACK)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
    }

    @AfterEach
    void stop() {
        endpoint.close();
        vertx.close();
    }

    @Test
    void aRequestThatTheRouterDoesNotKnowIsRefusedAsPossiblyRun() throws Exception {
        CompletableFuture<HttpClientResponse> answer = sendRequest();
        awaitArrival();
        assertThat(onEventLoop(() -> callers.endOrphans(id -> false))).isZero();
        assertThat(onEventLoop(() -> callers.endOrphans(id -> false))).isEqualTo(1);
        assertThat(answer.get(AWAIT_SECONDS, TimeUnit.SECONDS).statusCode()).isEqualTo(500);
    }

    @Test
    void aRequestThatTheRouterKnowsWaits() throws Exception {
        CompletableFuture<HttpClientResponse> answer = sendRequest();
        awaitArrival();
        assertThat(onEventLoop(() -> callers.endOrphans(id -> true))).isZero();
        assertThat(onEventLoop(() -> callers.endOrphans(id -> false))).isZero();
        assertThat(onEventLoop(() -> callers.endOrphans(id -> true))).isZero();
        assertThat(onEventLoop(() -> callers.endOrphans(id -> false))).isZero();
        assertThat(answer).isNotDone();
    }

    @Test
    void anAttemptThatTheRouterDoesNotKnowIsCancelled() throws Exception {
        sendRequest();
        RequestId request = awaitArrival();
        EndpointClient client = endpointClient(request);
        AttemptId attempt = AttemptId.of("attempt-1");
        onEventLoop(
                () -> {
                    client.startAttempt(
                            new RouterOutput.StartAttempt(attempt, request, ENDPOINT, 0));
                    return 0;
                });
        assertThat(requestSent.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(onEventLoop(() -> client.cancelOrphans(id -> false))).isZero();
        assertThat(onEventLoop(() -> client.cancelOrphans(id -> false))).isEqualTo(1);
        assertThat(endClosed.get(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against an attempt whose lost call holds its endpoint's slot until the deadline. */
    @Test
    void anAttemptOfTheRouterWithoutACallFails() throws Exception {
        RequestId request = RequestId.of("request-1");
        AttemptId attempt = AttemptId.of("attempt-1");
        RouterWorld world =
                RouterWorld.of(Incarnation.of("router"), Zone.of("langnau"), () -> attempt);
        world.attempts()
                .put(attempt, new AttemptRow(attempt, request, ENDPOINT, 0, 0, 0, 0, 0, 0, false));
        OrphanWatch watch =
                new OrphanWatch(
                        vertx,
                        world,
                        callers,
                        endpointClient(request),
                        inbox::add,
                        new PrometheusRegistry());
        onEventLoop(() -> check(watch));
        assertThat(inbox).isEmpty();
        onEventLoop(() -> check(watch));
        assertThat(inbox)
                .containsExactly(
                        new RouterInput.AttemptFailed(
                                attempt, RunState.UNKNOWN, "the call to the endpoint was lost"));
    }

    private static int check(OrphanWatch watch) {
        watch.check();
        return 0;
    }

    private EndpointClient endpointClient(RequestId request) {
        EndpointEntry entry =
                new EndpointEntry(
                        "i-1",
                        ENDPOINT,
                        "app",
                        Zone.of("langnau"),
                        Version.of("v1"),
                        new Address(GatewayHarness.LOOPBACK, endpoint.port()),
                        4,
                        false);
        RequestSpec spec =
                new RequestSpec(
                        request,
                        RequestKey.of(InstantSource.system().millis(), 1),
                        false,
                        BudgetId.of("ropes"),
                        RouteRow.chat(RouteName.of("chat"), "model", "app"),
                        0,
                        0,
                        0,
                        InstantSource.system().millis() + 10_000);
        return new EndpointClient(
                vertx,
                InstantSource.system(),
                new PeerPaths(vm -> Optional.empty()),
                id -> Optional.of(entry),
                callers::findExchange,
                id -> Optional.of(spec),
                name -> 1,
                inbox::add,
                event -> {});
    }

    private CompletableFuture<HttpClientResponse> sendRequest() {
        return vertx.createHttpClient()
                .request(HttpMethod.POST, port, GatewayHarness.LOOPBACK, "/orders/1")
                .map(request -> request.putHeader("request-id", "request-1"))
                .compose(HttpClientRequest::send)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private RequestId awaitArrival() throws InterruptedException {
        RouterInput arrived = inbox.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(arrived).isInstanceOf(RouterInput.CallArrived.class);
        return ((RouterInput.CallArrived) arrived).call().id();
    }

    private int onEventLoop(Supplier<Integer> action) throws Exception {
        CompletableFuture<Integer> result = new CompletableFuture<>();
        vertx.runOnContext(ignored -> result.complete(action.get()));
        return result.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }
}

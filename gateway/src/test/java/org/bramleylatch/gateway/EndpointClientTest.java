package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RequestSpec;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RouteRow;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;
import org.bramleylatch.platform.CallerRequestHead;
import org.bramleylatch.platform.EndpointEntry;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Starts attempts and probes at an address that the runtime's client refuses by an exception. */
class EndpointClientTest {
    private static final int PORT_OUT_OF_RANGE = 99_999;
    private static final AttemptId ATTEMPT = AttemptId.of("attempt-1");
    private static final RequestId REQUEST = RequestId.of("request-1");
    private static final EndpointId ENDPOINT = EndpointId.of("i-1");

    private final Vertx vertx = Vertx.vertx();
    private final AtomicReference<CallerExchange> exchange = new AtomicReference<>();
    private final BlockingQueue<RouterInput> inbox = new LinkedBlockingQueue<>();
    private final EndpointClient client =
            new EndpointClient(
                    vertx,
                    InstantSource.system(),
                    new PeerPaths(vm -> Optional.empty()),
                    id -> Optional.of(entry()),
                    id -> Optional.ofNullable(exchange.get()),
                    id -> Optional.of(spec()),
                    name -> 1,
                    inbox::add,
                    event -> {});

    @BeforeEach
    void receiveCallersRequest() throws Exception {
        int port =
                vertx.createHttpServer()
                        .requestHandler(this::holdExchange)
                        .listen(0, GatewayHarness.LOOPBACK)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(20, TimeUnit.SECONDS)
                        .actualPort();
        vertx.createHttpClient()
                .request(HttpMethod.POST, port, GatewayHarness.LOOPBACK, "/chat/")
                .onSuccess(request -> request.send("body"));
        while (exchange.get() == null) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    /** Guards against a request that waits for its whole deadline as nobody reports its attempt. */
    @Test
    void anAttemptThatTheClientRefusesToStartIsReportedAsNotRun() throws Exception {
        client.startAttempt(new RouterOutput.StartAttempt(ATTEMPT, REQUEST, ENDPOINT, 0));
        assertThat(inbox.poll(20, TimeUnit.SECONDS))
                .isInstanceOfSatisfying(
                        RouterInput.AttemptFailed.class,
                        failed -> {
                            assertThat(failed.attempt()).isEqualTo(ATTEMPT);
                            assertThat(failed.runState()).isEqualTo(RunState.NOT_RUN);
                            assertThat(failed.cause())
                                    .isEqualTo(RouterInput.AttemptFailed.Cause.NOT_CONNECTED);
                        });
        assertThat(client.openCalls()).isZero();
    }

    /** Guards against a probe that never reports, so that its endpoint is never judged. */
    @Test
    void aProbeThatTheClientRefusesToStartIsReportedAsNotRefusedByTheEndpoint() throws Exception {
        new EndpointProber(
                        vertx,
                        id -> Optional.of(entry()),
                        new PeerPaths(vm -> Optional.empty()),
                        inbox::add)
                .probe(new RouterOutput.ProbeEndpoint(ENDPOINT));
        assertThat(inbox.poll(20, TimeUnit.SECONDS))
                .isInstanceOfSatisfying(
                        RouterInput.EndpointProbed.class,
                        probed ->
                                assertThat(probed.outcome())
                                        .isEqualTo(RouterInput.EndpointProbed.Outcome.NOT_TRIED));
    }

    private void holdExchange(HttpServerRequest request) {
        exchange.set(
                new CallerExchange(
                        request,
                        CallerRequestHead.empty(),
                        new RequestBody(BodyBudget.ofHeap(0)),
                        new ArrivalTime(0, 0),
                        new AnswerWrites()));
    }

    private static EndpointEntry entry() {
        return new EndpointEntry(
                "i-1",
                ENDPOINT,
                "llm",
                Zone.of("langnau"),
                Version.of("v1"),
                new Address(GatewayHarness.LOOPBACK, PORT_OUT_OF_RANGE),
                4,
                false);
    }

    private static RequestSpec spec() {
        return new RequestSpec(
                REQUEST,
                RequestKey.parse("01890a5d-ac96-774b-bcce-b302099a8057").orElseThrow(),
                false,
                BudgetId.of("ropes"),
                RouteRow.chat(RouteName.of("chat"), "m", "llm"),
                100,
                50,
                0,
                Long.MAX_VALUE);
    }
}

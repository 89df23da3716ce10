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
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.PathProbed;
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

/** Sends attempts to an endpoint that can be reached through the peer "front-2" alone. */
class RelayedAttemptTest {
    private static final AttemptId ATTEMPT = AttemptId.of("attempt-1");
    private static final RequestId REQUEST = RequestId.of("request-1");
    private static final EndpointId ENDPOINT = EndpointId.of("i-1");
    private static final String PEER = "front-2";
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nrequest-id: caller-1\r\nserver-seal: s\r\n";

    private final Vertx vertx = Vertx.vertx();
    private final AtomicReference<CallerExchange> exchange = new AtomicReference<>();
    private final BlockingQueue<RouterInput> inbox = new LinkedBlockingQueue<>();
    private RawEndpoint endpoint;
    private Address relay;
    private EndpointClient client;
    private EndpointProber prober;

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
                .onSuccess(request -> request.putHeader("request-id", "caller-1").send("body"));
        while (exchange.get() == null) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @AfterEach
    void stop() {
        endpoint.close();
        vertx.close();
    }

    @Test
    void anAnswerWithALengthIsDelivered() throws Exception {
        start(HEAD + "content-length: 4\r\n\r\ndone");
        client.startAttempt(attempt(Optional.of(PEER)));
        assertThat(next(RouterInput.ServiceAnswered.class).body()).isEqualTo("done");
    }

    /** Guards against a part of an answer that looks complete as the peer that carried it ended. */
    @Test
    void anAnswerThatOnlyTheEndOfItsConnectionEndsIsNotComplete() throws Exception {
        start(HEAD + "connection: close\r\n\r\npart");
        client.startAttempt(attempt(Optional.of(PEER)));
        AttemptFailed failed = next(AttemptFailed.class);
        assertThat(failed.cause()).isEqualTo(AttemptFailed.Cause.CONNECTION_LOST);
        assertThat(failed.runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aDirectAnswerThatTheEndOfItsConnectionEndsIsComplete() throws Exception {
        start(HEAD + "connection: close\r\n\r\nwhole");
        client.startAttempt(attempt(Optional.empty()));
        assertThat(next(RouterInput.ServiceAnswered.class).body()).isEqualTo("whole");
    }

    @Test
    void anAttemptThroughAPeerThatIsGoneHasNotRunAndBlamesThePath() throws Exception {
        start("");
        relay = new Address(GatewayHarness.LOOPBACK, endpoint.port());
        endpoint.closePort();
        client.startAttempt(attempt(Optional.of(PEER)));
        AttemptFailed failed = next(AttemptFailed.class);
        assertThat(failed.cause()).isEqualTo(AttemptFailed.Cause.PATH_FAILED);
        assertThat(failed.runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void aPeerTellsWhetherItReachesTheEndpoint() throws Exception {
        start("");
        prober.probePath(new RouterOutput.ProbePath(ENDPOINT, PEER));
        assertThat(next(PathProbed.class).outcome()).isEqualTo(PathProbed.Outcome.CONNECTED);
        endpoint.closePort();
        prober.probePath(new RouterOutput.ProbePath(ENDPOINT, PEER));
        assertThat(next(PathProbed.class).outcome()).isEqualTo(PathProbed.Outcome.ENDPOINT_FAILED);
    }

    private <T extends RouterInput> T next(Class<T> type) throws InterruptedException {
        RouterInput input = inbox.poll(20, TimeUnit.SECONDS);
        while (input != null && !type.isInstance(input)) {
            input = inbox.poll(20, TimeUnit.SECONDS);
        }
        assertThat(input).isNotNull();
        return type.cast(input);
    }

    private void start(String answer) throws Exception {
        endpoint =
                RawEndpoint.start(
                        socket -> {
                            RawEndpoint.write(socket, answer);
                            socket.close();
                        });
        PeerRelay peer = new PeerRelay(vertx, address -> true, () -> true);
        int port =
                peer.listen(new Address(GatewayHarness.LOOPBACK, 0))
                        .get(20, TimeUnit.SECONDS)
                        .actualPort();
        relay = new Address(GatewayHarness.LOOPBACK, port);
        PeerPaths paths = new PeerPaths(vm -> Optional.of(relay));
        prober = new EndpointProber(vertx, id -> Optional.of(entry()), paths, inbox::add);
        client =
                new EndpointClient(
                        vertx,
                        InstantSource.system(),
                        paths,
                        id -> Optional.of(entry()),
                        id -> Optional.ofNullable(exchange.get()),
                        id -> Optional.of(spec()),
                        name -> 1,
                        inbox::add,
                        event -> {});
    }

    private void holdExchange(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body ->
                                exchange.set(
                                        new CallerExchange(
                                                request,
                                                CallerRequestHead.of(request),
                                                new RequestBody(BodyBudget.ofHeap(0)),
                                                new ArrivalTime(0, 0),
                                                new AnswerWrites())));
    }

    private static RouterOutput.StartAttempt attempt(Optional<String> via) {
        return new RouterOutput.StartAttempt(ATTEMPT, REQUEST, ENDPOINT, 0, via);
    }

    private EndpointEntry entry() {
        return new EndpointEntry(
                "i-1",
                ENDPOINT,
                "llm",
                Zone.of("langnau"),
                Version.of("v1"),
                new Address(GatewayHarness.LOOPBACK, endpoint.port()),
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

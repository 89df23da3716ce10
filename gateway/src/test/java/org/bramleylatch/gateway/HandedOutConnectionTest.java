package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;
import org.bramleylatch.platform.CallerRequestHead;
import org.bramleylatch.platform.EndpointEntry;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request of unknown outcome that was never written: its connection closed after
 * the pool had handed it out.
 */
class HandedOutConnectionTest {
    private static final EndpointId ENDPOINT = EndpointId.of("i-1");

    /** The event loop reads from its connections after a second, between groups of 64 tasks. */
    private static final int TASKS = 100;

    private static final int TASK_MILLIS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final Map<String, CallerExchange> exchanges = new ConcurrentHashMap<>();
    private final BlockingQueue<RouterInput> inbox = new LinkedBlockingQueue<>();
    private final CountDownLatch closing = new CountDownLatch(1);
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger resets = new AtomicInteger();
    private Runnable beforeHandOut = () -> {};
    private EndpointClient client;

    @BeforeEach
    void receiveCallersRequests() throws Exception {
        int port =
                vertx.createHttpServer()
                        .requestHandler(this::holdExchange)
                        .listen(0, GatewayHarness.LOOPBACK)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(20, TimeUnit.SECONDS)
                        .actualPort();
        for (String id : List.of("request-1", "request-2")) {
            vertx.createHttpClient()
                    .request(HttpMethod.POST, port, GatewayHarness.LOOPBACK, "/" + id)
                    .onSuccess(request -> request.send("body"));
            while (!exchanges.containsKey(id)) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aRequestWhoseConnectionClosesBeforeItIsWrittenGoesOverAnother() throws Exception {
        RawEndpoint endpoint =
                RawEndpoint.start(
                        socket -> {
                            RawEndpoint.write(socket, answer(answered.incrementAndGet()));
                            closing.await();
                        });
        start(endpoint.port());
        assertThat(resultOf("request-1")).isInstanceOf(RouterInput.ServiceAnswered.class);
        beforeHandOut =
                () -> {
                    closing.countDown();
                    keepLoopBusy();
                };
        assertThat(resultOf("request-2")).isInstanceOf(RouterInput.ServiceAnswered.class);
        endpoint.close();
    }

    @Test
    void anEndpointThatClosesEachNewConnectionGetsOneForAnAttempt() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            CompletableFuture.runAsync(() -> resetAll(server));
            start(server.getLocalPort());
            beforeHandOut = this::keepLoopBusy;
            assertThat(resultOf("request-1")).isInstanceOf(AttemptFailed.class);
            assertThat(resets).hasValue(1);
        }
    }

    private void resetAll(ServerSocket server) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                resets.incrementAndGet();
                socket.setSoLinger(true, 0);
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Makes the loop read from its connections between the hand-out and the write. */
    private void keepLoopBusy() {
        beforeHandOut = () -> {};
        for (int task = 0; task < TASKS; task++) {
            loop.runOnContext(due -> sleep());
        }
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(TASK_MILLIS);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private RouterInput resultOf(String id) throws InterruptedException {
        loop.runOnContext(
                due ->
                        client.startAttempt(
                                new RouterOutput.StartAttempt(
                                        AttemptId.of(id), RequestId.of(id), ENDPOINT, 0)));
        RouterInput result = inbox.poll(20, TimeUnit.SECONDS);
        while (result instanceof RouterInput.RateLimitObserved) {
            result = inbox.poll(20, TimeUnit.SECONDS);
        }
        return result;
    }

    private void start(int port) {
        client =
                new EndpointClient(
                        vertx,
                        InstantSource.system(),
                        new PeerPaths(vm -> Optional.empty()),
                        id -> Optional.of(entry(port)),
                        id -> {
                            beforeHandOut.run();
                            return Optional.of(exchanges.get(id.value()));
                        },
                        id -> Optional.of(spec(id)),
                        name -> 1,
                        inbox::add,
                        event -> {});
    }

    private void holdExchange(HttpServerRequest request) {
        String id = request.path().substring(1);
        RequestBody body = new RequestBody(BodyBudget.ofHeap(0));
        exchanges.put(
                id,
                new CallerExchange(
                        request,
                        new CallerRequestHead(
                                id, "", Optional.empty(), Optional.empty(), 0, 0, List.of()),
                        body,
                        new ArrivalTime(0, 0),
                        new AnswerWrites()));
    }

    private static String answer(int request) {
        return "HTTP/1.1 200 OK\r\nserver-seal: seal-1\r\nrequest-id: request-"
                + request
                + "\r\n"
                + "content-length: 2\r\n\r\nok";
    }

    private static EndpointEntry entry(int port) {
        return new EndpointEntry(
                "i-1",
                ENDPOINT,
                "llm",
                Zone.of("langnau"),
                Version.of("v1"),
                new Address(GatewayHarness.LOOPBACK, port),
                4,
                false);
    }

    private static RequestSpec spec(RequestId id) {
        return new RequestSpec(
                id,
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

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.platform.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against SHORT: a busy VM read each body before it refused the request. */
class ShedRequestTest {
    private static final int AWAIT_SECONDS = 10;
    private static final long HEAP_BYTES = 1024 * 1024;

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
                    new RequestReader.Limits(
                            () -> new CallerLimits(1_000, 10_000, 60_000),
                            BodyBudget.ofHeap(HEAP_BYTES),
                            () -> Optional.of(1_500L)),
                    () -> false);
    private Socket caller;

    @BeforeEach
    void start() throws Exception {
        int port =
                vertx.createHttpServer()
                        .connectionHandler(callers::handleConnection)
                        .requestHandler(callers::handleRequest)
                        .listen(0, GatewayHarness.LOOPBACK)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        caller = new Socket(InetAddress.getLoopbackAddress(), port);
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(AWAIT_SECONDS));
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        vertx.close();
    }

    @Test
    void aRequestIsRefusedBeforeItsBodyHasCome() throws Exception {
        send("POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\nrequest-id: request-1\r\n");
        send("content-length: 30\r\n\r\n");
        byte[] head = new byte[200];
        int count = caller.getInputStream().read(head);
        String answer = new String(head, 0, count, StandardCharsets.ISO_8859_1).toLowerCase();
        assertThat(answer)
                .startsWith("http/1.1 503")
                .contains("retry-after: 1.5")
                .contains("connection: close");
        assertThat(inbox).isEmpty();
    }

    @Test
    void aRequestWithoutABodyIsRefusedAndItsConnectionCloses() throws Exception {
        send("GET /orders/1 HTTP/1.1\r\nhost: ropes.example\r\nrequest-id: request-1\r\n\r\n");
        String answer =
                new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertThat(answer).startsWith("HTTP/1.1 503").contains("VM_OVERLOADED");
        assertThat(inbox).isEmpty();
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        caller.getOutputStream().flush();
    }
}

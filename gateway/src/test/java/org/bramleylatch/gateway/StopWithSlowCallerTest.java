package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that cuts off answers which their callers are still reading. */
class StopWithSlowCallerTest {
    private static final int BODY_BYTES = 900_000;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    /** Exceeds the time in which a router without requests stops, and is within the grace. */
    private static final long STOP_SECONDS = 5;

    private final GatewayHarness harness = new GatewayHarness();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    // Guards against a process that exits while the end of an answer waits in its write queue.
    @Test
    void aStoppingGatewayWaitsUntilASlowCallerHasGotItsWholeAnswer() throws Exception {
        harness.addEndpoint(
                "app",
                "i-1",
                (request, count) ->
                        request.response()
                                .putHeader("request-id", "request-1")
                                .putHeader("server-seal", "seal-1")
                                .end("x".repeat(BODY_BYTES)));
        harness.configureAndAwaitReady();
        try (Socket caller = send()) {
            assertThat(caller.getInputStream().read()).isEqualTo('H');
            CompletableFuture<Void> stopped = harness.gateway().stop();
            assertThatThrownBy(() -> stopped.get(STOP_SECONDS, TimeUnit.SECONDS))
                    .isInstanceOf(TimeoutException.class);
            String rest = readAll(caller);
            assertThat(rest).endsWith("x".repeat(BODY_BYTES));
            stopped.get(STOP_SECONDS, TimeUnit.SECONDS);
        }
    }

    private Socket send() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(
                new InetSocketAddress(GatewayHarness.LOOPBACK, harness.gateway().ports().get(0)));
        RawEndpoint.write(
                socket,
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\nrequest-id: request-1\r\n"
                        + "deadline-ms: 10000\r\nx-api-key: secret\r\nconnection: close\r\n"
                        + "content-length: 4\r\n\r\nbody");
        return socket;
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
}

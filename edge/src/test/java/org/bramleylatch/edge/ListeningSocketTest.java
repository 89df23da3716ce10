package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ListeningSocketTest {
    /** Exceeds what the runtime accepts at a time. */
    private static final int CALLERS = 100;

    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nhost: ropes.example\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String STATUS_LINE = "HTTP/1.1 200 OK";

    private final Vertx vertx = Vertx.vertx();
    private final CompletableFuture<HttpConnection> accepted = new CompletableFuture<>();
    private int port;

    @AfterEach
    void stop() {
        vertx.close();
    }

    /** Guards against requests that are reset while they wait for a late process to accept them. */
    @Test
    void aSocketIsClosedOnceTheConnectionsThatWaitAreAcceptedAndTakesNoneAfterwards()
            throws Exception {
        port =
                HttpServers.listenHttp1(
                                vertx,
                                new Address("127.0.0.1", 0),
                                accepted::complete,
                                request -> request.response().end())
                        .join()
                        .actualPort();
        assertThat(statusLine(send())).isEqualTo(STATUS_LINE);
        ((ConnectionBase) accepted.join())
                .channelHandlerContext()
                .channel()
                .parent()
                .eventLoop()
                .execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(500)));
        List<Socket> callers = new ArrayList<>();
        for (int count = 0; count < CALLERS; count++) {
            callers.add(send());
        }
        ListeningSocket.of(accepted.join()).close().join();
        assertThatThrownBy(this::send).isInstanceOf(ConnectException.class);
        for (Socket caller : callers) {
            assertThat(statusLine(caller)).isEqualTo(STATUS_LINE);
        }
    }

    private Socket send() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.getOutputStream().write(REQUEST);
        return socket;
    }

    private static String statusLine(Socket caller) throws IOException {
        try (caller) {
            byte[] line = caller.getInputStream().readNBytes(STATUS_LINE.length());
            return new String(line, StandardCharsets.US_ASCII);
        }
    }
}

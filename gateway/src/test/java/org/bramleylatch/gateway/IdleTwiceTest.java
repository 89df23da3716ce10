package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.platform.CallerLimits;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class IdleTwiceTest {
    private static final int IDLE_TIMEOUT_MILLIS = 500;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nhost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final AtomicLong nowMillis = new AtomicLong();
    private final CallerConnections connections =
            new CallerConnections(
                    () -> Instant.ofEpochMilli(nowMillis.get()),
                    () -> new CallerLimits(100_000, 10_000, IDLE_TIMEOUT_MILLIS),
                    event -> {});

    @AfterEach
    void stop() {
        vertx.close();
    }

    // Guards against the close of a connection that was used between two checks, while its next
    // request waits unread in a process that was suspended twice.
    @Test
    void aConnectionThatIsUsedBetweenTwoChecksThatFindItIdleForTooLongIsKept() throws Exception {
        int port =
                HttpServers.listenHttp1(
                                vertx,
                                new Address(GatewayHarness.LOOPBACK, 0),
                                connections::open,
                                this::answer)
                        .join()
                        .actualPort();
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            for (int suspension = 0; suspension < 3; suspension++) {
                assertThat(call(caller)).as("call " + suspension).startsWith("HTTP/1.1 200");
                checkAfter(3 * IDLE_TIMEOUT_MILLIS);
            }
            checkAfter(0);
            assertThat(caller.getInputStream().read()).isNegative();
        }
    }

    private void answer(HttpServerRequest request) {
        connections.awaitAnswer(request);
        request.response().end().onComplete(done -> connections.endAnswer(request));
    }

    /** Advances the clock and checks, on the event loop, after the answers that were written. */
    private void checkAfter(long suspendedMillis) throws Exception {
        CompletableFuture<Void> checked = new CompletableFuture<>();
        vertx.setTimer(
                200,
                ignored -> {
                    nowMillis.addAndGet(suspendedMillis);
                    connections.endOverdue();
                    checked.complete(null);
                });
        checked.get();
    }

    private static String call(Socket caller) throws Exception {
        byte[] bytes = new byte[1_024];
        caller.getOutputStream().write(REQUEST);
        int count = caller.getInputStream().read(bytes);
        return new String(bytes, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
    }
}

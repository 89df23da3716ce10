package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.platform.LoopbackStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that is asked to stop as it begins to listen, and that then ends without
 * answering its callers.
 */
class EarlyStopTest {
    /** The time after its last byte from which a request without an answer counts as lost. */
    private static final long LOSS_SLACK_MILLIS = 200;

    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final byte[] REQUEST =
            """
            POST /orders/1 HTTP/1.1\r
            host: ropes.example\r
            request-id: request-1\r
            deadline-ms: 10000\r
            content-length: 4\r
            \r
            body"""
                    .getBytes(StandardCharsets.ISO_8859_1);

    @TempDir Path folder;
    private final Vertx vertx = Vertx.vertx();
    private final SoakWorld world = new SoakWorld(vertx, 1);
    private SoakProcess process;

    @AfterEach
    void kill() {
        process.close();
        vertx.close();
    }

    @Test
    @Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aGatewayThatIsStoppedTwiceAsItBeginsToListenAnswersUntilItEndsWithinItsGrace()
            throws Exception {
        process = new SoakProcess(world, folder, LoopbackStore.start(vertx).join().address());
        process.start();
        Socket first = awaitListening();
        process.retire();
        assertThat(send(first)).startsWith("HTTP/1.1 503");
        process.retire();
        while (!process.hasEnded()) {
            sendUntilClosed();
        }
        assertThat(world.findings()).isEmpty();
    }

    private Socket awaitListening() throws Exception {
        while (true) {
            try {
                return connect();
            } catch (ConnectException notYet) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), process.callerPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private void sendUntilClosed() throws Exception {
        try {
            long sentMillis = world.nowMillis();
            String answer = send(connect());
            long tookMillis = world.nowMillis() - sentMillis;
            if (!answer.startsWith("HTTP/1.1 ") && tookMillis > LOSS_SLACK_MILLIS) {
                world.report("no answer", "sent at " + sentMillis + " ms, for " + tookMillis);
            }
        } catch (ConnectException ended) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Returns the first bytes of the answer; none if the connection is closed without one. */
    private static String send(Socket caller) throws IOException {
        byte[] bytes = new byte[1_024];
        try (caller) {
            caller.getOutputStream().write(REQUEST);
            int count = caller.getInputStream().read(bytes);
            return new String(bytes, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
        } catch (SocketException closed) {
            return "";
        }
    }
}

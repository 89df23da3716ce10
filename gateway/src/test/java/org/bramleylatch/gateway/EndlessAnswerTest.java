package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an endpoint whose bytes never end, in a head, a body or an event: the gateway
 * closes the connection after a bounded number of bytes and tells its caller.
 */
class EndlessAnswerTest {
    /** An eighth of what the smallest VM has for all requests together. */
    private static final long MAX_BYTES = 40 * 1024 * 1024;

    private static final long AWAIT_SECONDS = 15;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n";

    private final GatewayHarness harness = new GatewayHarness();
    private final AtomicLong writtenBytes = new AtomicLong();
    private final CountDownLatch closed = new CountDownLatch(1);

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @Test
    void bytesThatAreNoAnswerEndTheAttempt() throws Exception {
        callEndless("app", "/orders/1", "", "x".repeat(4_096));
    }

    @Test
    void aHeadWithoutEndEndsTheAttempt() throws Exception {
        callEndless("app", "/orders/1", HEAD, "filler: " + "x".repeat(100) + "\r\n");
    }

    @Test
    void aBodyWithoutLengthAndEndEndsTheAttempt() throws Exception {
        callEndless("app", "/orders/1", HEAD + "\r\n", "x".repeat(4_096));
    }

    @Test
    void aBodyOfChunksWithoutEndEndsTheAttempt() throws Exception {
        String chunk = "1000\r\n" + "x".repeat(4_096) + "\r\n";
        callEndless("app", "/orders/1", HEAD + "transfer-encoding: chunked\r\n\r\n", chunk);
    }

    @Test
    void anEventWithoutEndEndsTheAttempt() throws Exception {
        callEndless(
                "llm", "/chat/1", HEAD + "content-type: text/event-stream\r\n\r\n", "data: xxx\n");
    }

    /**
     * Checks that the caller of an endpoint that repeats the text is told, and that it is closed.
     */
    private void callEndless(String service, String path, String head, String text)
            throws Exception {
        harness.addRawEndpoint(service, "i-1", socket -> writeEndlessly(socket, head, text));
        harness.configureAndAwaitReady();
        assertThat(harness.call(path).status()).isEqualTo(502);
        assertThat(closed.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(writtenBytes.get()).isLessThan(MAX_BYTES);
    }

    private void writeEndlessly(Socket socket, String head, String text) throws IOException {
        try {
            RawEndpoint.write(socket, head);
            while (writtenBytes.get() < 2 * MAX_BYTES) {
                RawEndpoint.write(socket, text);
                writtenBytes.addAndGet(text.length());
            }
        } finally {
            closed.countDown();
        }
    }
}

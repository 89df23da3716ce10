package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a part of an answer that looks complete: an endpoint answers a long upload at
 * once, without a length, and resets the connection while the upload is still written.
 */
class AnswerDuringUploadTest {
    /** More than the buffers of a connection hold, so that the endpoint's silence holds it up. */
    private static final Buffer LONG_BODY = Buffer.buffer(new byte[24 * 1024 * 1024]);

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n";
    private static final String PART = "the first half of ";

    private final GatewayHarness harness = new GatewayHarness();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @Test
    void aPartWithoutLengthIsNotCompleteAfterAReset() throws Exception {
        assertThat(answerTo(HEAD + "\r\n" + PART, true).status()).isEqualTo(502);
    }

    @Test
    void aPartWithoutLengthOnAConnectionThatClosesIsNotCompleteAfterAReset() throws Exception {
        assertThat(answerTo(HEAD + "connection: close\r\n\r\n" + PART, true).status())
                .isEqualTo(502);
    }

    @Test
    void aPartWithoutLengthIsNotCompleteAfterACloseThatLeavesTheUploadUnread() throws Exception {
        assertThat(answerTo(HEAD + "\r\n" + PART, false).status()).isEqualTo(502);
    }

    /** A reset that follows is not read any more once the endpoint's side is closed. */
    @Test
    void aPartWithoutLengthIsNotCompleteWhereTheEndpointClosesItsSideDuringTheUpload()
            throws Exception {
        harness.addRawEndpoint(
                "app",
                "i-1",
                socket -> {
                    RawEndpoint.write(socket, HEAD + "\r\n" + PART);
                    socket.shutdownOutput();
                    Thread.sleep(1_000);
                });
        harness.configureForLongBodiesAndAwaitReady();
        assertThat(harness.callWithBody("/orders/1", LONG_BODY).status()).isEqualTo(502);
    }

    @Test
    void anAnswerWithoutLengthIsCompleteOnceItsUploadIsWritten() throws Exception {
        harness.addRawEndpoint("app", "i-1", socket -> RawEndpoint.write(socket, HEAD + "\r\nall"));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1").body()).isEqualTo("all");
    }

    private GatewayHarness.Answer answerTo(String answer, boolean reset) throws Exception {
        harness.addRawEndpoint("app", "i-1", socket -> writePart(socket, answer, reset));
        harness.configureForLongBodiesAndAwaitReady();
        return harness.callWithBody("/orders/1", LONG_BODY);
    }

    /** Writes the answer and ends; a close with unread bytes resets the connection as well. */
    private static void writePart(Socket socket, String answer, boolean reset)
            throws IOException, InterruptedException {
        RawEndpoint.write(socket, answer);
        if (reset) {
            RawEndpoint.reset(socket);
        }
    }
}

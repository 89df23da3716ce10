package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that were read and get no answer because their head is unusual. */
class OddRequestHeadTest {
    private static final int ANSWER_TIMEOUT_MILLIS = 5_000;

    private final GatewayHarness harness = new GatewayHarness();

    @BeforeEach
    void start() throws Exception {
        harness.start();
        harness.addEndpoint(
                "app",
                "i-1",
                (request, count) ->
                        request.response()
                                .putHeader("request-id", request.getHeader("request-id"))
                                .putHeader("server-seal", "seal-1")
                                .end("done"));
        harness.configureAndAwaitReady();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    // Guards against an exception while the head is decoded, after which nobody owns the request.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST * HTTP/1.1\r\nhost: ropes.example\r\n",
                "POST ? HTTP/1.1\r\nhost: ropes.example\r\n",
                "POST //orders/1 HTTP/1.1\r\nhost: ropes.example\r\n",
                "POST http://[::1/orders/1 HTTP/1.1\r\nhost: ropes.example\r\n",
                "POST /orders/%zz?%zz HTTP/1.1\r\nhost: ropes.example\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: :::\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example:99999999999\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\ndeadline-ms: 1e308\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\ndeadline-ms: NaN\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\ntoken-counts: ,\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\ntoken-counts: 9e18,9e18\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\nprompt-prefix: ,\r\n",
                "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\n"
                        + "prompt-prefix: a:9e18,b:9e18,c:1\r\n"
            })
    void everyRequestThatIsReadGetsAnAnswer(String head) throws Exception {
        try (Socket caller =
                new Socket(GatewayHarness.LOOPBACK, harness.gateway().ports().get(0))) {
            caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            RawEndpoint.write(
                    caller,
                    head
                            + "request-id: odd-1\r\nx-api-key: secret\r\n"
                            + "content-length: 4\r\n\r\nbody");
            assertThat(readStatusLine(caller)).matches("HTTP/1\\.1 \\d{3} .*");
        }
    }

    // Guards against token counts whose sum overflows, so that a prompt runs without being billed.
    @ParameterizedTest
    @ValueSource(strings = {"1e300,1e300", "9223372036854775807,9223372036854775807", "1e13,1"})
    void aRequestWithTokenCountsBeyondAnyEndpointIsRefusedAndNotSent(String counts)
            throws Exception {
        try (Socket caller =
                new Socket(GatewayHarness.LOOPBACK, harness.gateway().ports().get(0))) {
            caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            RawEndpoint.write(
                    caller,
                    "POST /orders/1 HTTP/1.1\r\nhost: ropes.example\r\nrequest-id: odd-1\r\n"
                            + "x-api-key: secret\r\ntoken-counts: "
                            + counts
                            + "\r\ncontent-length: 4\r\n\r\nbody");
            assertThat(readStatusLine(caller)).startsWith("HTTP/1.1 400");
        }
        assertThat(harness.receivedRequests).isEmpty();
    }

    private static String readStatusLine(Socket caller) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = caller.getInputStream().read();
        while (next >= 0 && next != '\r') {
            line.append(new String(new byte[] {(byte) next}, StandardCharsets.ISO_8859_1));
            next = caller.getInputStream().read();
        }
        return line.toString();
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an answer that breaks off within its head and reaches the caller as a success with
 * an empty or short body.
 */
class PartialHeadTest {
    private static final String SIGNED =
            "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n";

    private final GatewayHarness harness = new GatewayHarness();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: se",
                SIGNED,
                SIGNED + "content-length: 4\r\n",
                SIGNED + "transfer-encoding: chunked\r\n",
                SIGNED + "transfer-encoding: chunked\r\n\r",
                SIGNED + "content-le"
            })
    void aWholeAnswerThatEndsWithinItsHeadIsNotASuccess(String head) throws Exception {
        harness.addRawEndpoint("app", "i-1", socket -> RawEndpoint.write(socket, head));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1").status()).isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                SIGNED,
                SIGNED + "content-type: text/event-stream\r\n",
                SIGNED + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
                SIGNED + "content-type: text/ev"
            })
    void aStreamThatEndsWithinItsHeadIsNotASuccess(String head) throws Exception {
        harness.addRawEndpoint("llm", "i-1", socket -> RawEndpoint.write(socket, head));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/chat/1").status()).isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(strings = {SIGNED, SIGNED + "content-length: 4\r\n"})
    void anAnswerWhoseConnectionIsResetWithinItsHeadIsNotASuccess(String head) throws Exception {
        harness.addRawEndpoint(
                "app",
                "i-1",
                socket -> {
                    RawEndpoint.write(socket, head);
                    RawEndpoint.reset(socket);
                });
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1").status()).isEqualTo(502);
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer that reaches a caller although its status is none. */
class StatusTest {
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
    @ValueSource(strings = {"000", "099", "600", "999", "20", "2000", "-20", "abc", "101", "199"})
    void anAnswerWhoseStatusIsNoneNeverReachesItsCaller(String status) throws Exception {
        harness.addRawEndpoint(
                "app",
                "i-1",
                socket ->
                        RawEndpoint.write(
                                socket,
                                "HTTP/1.1 "
                                        + status
                                        + " Odd\r\nrequest-id: request-1\r\nserver-seal: s\r\n"
                                        + "connection: close\r\ncontent-length: 4\r\n\r\noops"));
        harness.configureAndAwaitReady();
        GatewayHarness.Answer answer = harness.call("/orders/1");
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.body()).doesNotContain("oops");
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointHeaderTest {
    private final GatewayHarness harness = new GatewayHarness();
    private final AtomicInteger requests = new AtomicInteger();

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
                "server-leaving: 1\r\n",
                "Server-Leaving:  1 \r\n",
                "server-leaving: 0\r\nserver-leaving: 1\r\n"
            })
    void anEndpointThatSaysItIsLeavingGetsNoFurtherRequest(String header) throws Exception {
        answerFirst("200 OK", header);
        assertThat(harness.call("/orders/1").status()).isEqualTo(200);
        assertThat(harness.call("/orders/2").status()).isEqualTo(503);
        assertThat(requests.get()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"server-leaving: 0\r\n", "server-leaving: soon\r\n", "leaving: 1\r\n"})
    void anEndpointThatSaysSomethingElseGetsFurtherRequests(String header) throws Exception {
        answerFirst("200 OK", header);
        harness.call("/orders/1");
        assertThat(harness.call("/orders/2").status()).isEqualTo(200);
    }

    /** Guards against an endpoint that falls over as it has to refuse too many requests. */
    @Test
    void aBrittleEndpointThatRefusesGetsNoRequestForAWhile() throws Exception {
        answerFirst("503 Service Unavailable", "not-executed: 1\r\nserver-brittle: 0.05\r\n");
        harness.call("/orders/1");
        assertThat(harness.call("/orders/2").status()).isEqualTo(503);
        assertThat(requests.get()).isEqualTo(1);
    }

    @Test
    void aBrittleEndpointThatAnswersGetsFurtherRequests() throws Exception {
        answerFirst("200 OK", "server-brittle: 0.05\r\n");
        assertThat(harness.call("/orders/1").status()).isEqualTo(200);
        assertThat(harness.call("/orders/2").status()).isEqualTo(200);
    }

    @Test
    void aFailureFromALeavingEndpointCountsAsWell() throws Exception {
        answerFirst("500 Internal Server Error", "server-leaving: 1\r\n");
        assertThat(harness.call("/orders/1").status()).isEqualTo(500);
        assertThat(harness.call("/orders/2").status()).isEqualTo(503);
        assertThat(requests.get()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "retry-after: 30\r\n",
                "retry-after: 30.5\r\n",
                "retry-after: 1\r\nretry-after: 30\r\n",
                "retry-after: 999999999999\r\n"
            })
    void anEndpointThatAsksForAPauseGetsNoRequestAndCallersLearnOfTheEnd(String header)
            throws Exception {
        answerFirst("503 Service Unavailable", "not-executed: 1\r\n" + header);
        harness.call("/orders/1");
        GatewayHarness.Answer second = harness.call("/orders/2");
        assertThat(second.status()).isEqualTo(503);
        assertThat(Double.parseDouble(second.header("retry-after"))).isGreaterThan(20);
        assertThat(requests.get()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "retry-after: -30\r\n",
                "retry-after: 0\r\n",
                "retry-after: Sat, 05 Dec 2026 12:00:00 GMT\r\n",
                "retry-after: soon\r\n"
            })
    void aRefusalThatNamesNoTimeIsNoPause(String header) throws Exception {
        answerFirst("503 Service Unavailable", "not-executed: 1\r\n" + header);
        harness.call("/orders/1");
        assertThat(harness.call("/orders/2").status()).isEqualTo(200);
    }

    /** Gives the status and headers to the first request, and a plain success to the others. */
    private void answerFirst(String status, String headers) throws Exception {
        harness.addRawEndpoint(
                "app",
                "i-1",
                socket ->
                        RawEndpoint.write(
                                socket,
                                requests.incrementAndGet() == 1
                                        ? answer(status, headers)
                                        : answer("200 OK", "")));
        harness.configureAndAwaitReady();
    }

    private static String answer(String status, String headers) {
        return "HTTP/1.1 "
                + status
                + "\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\ncontent-length: 4\r\n"
                + headers
                + "\r\ndone";
    }
}

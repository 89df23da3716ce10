package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against passing on a failure as a success if the beginning of a late copy, cut off within
 * its head, lies before it on the connection.
 */
@Timeout(60)
class TornCopyTest {
    private static final int LATE_MILLIS = 50;
    private static final String EVENT = GatewayHarness.event(1);

    private final GatewayHarness harness = new GatewayHarness();
    private KeptConnectionEndpoint endpoint;

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        harness.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nserver-se",
                "HTTP/1.1 200 OK\r\nserver-seal: seal-of-",
                "HTTP/1.1 200 OK\r\nserver-seal: seal-1\r\n"
            })
    void theBeginningOfACopyOnAnIdleConnectionNeverTurnsAFailureIntoASuccess(String torn)
            throws Exception {
        endpoint =
                KeptConnectionEndpoint.add(
                        harness,
                        "llm",
                        "i-1",
                        (request, socket) -> {
                            if (request.id().equals("request-1")) {
                                RawEndpoint.write(
                                        socket, AnswerText.success(request.id(), EVENT) + torn);
                            } else {
                                RawEndpoint.write(socket, AnswerText.failure(request.id()));
                            }
                        });
        harness.configureForABusyMachineAndAwaitReady();
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(200);
        Thread.sleep(LATE_MILLIS);
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isNotEqualTo(200);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nserver-seal: seal-1\r\n"})
    void theBeginningOfACopyThatArrivesBehindTheNextRequestNeverTurnsAFailureIntoASuccess(
            String torn) throws Exception {
        endpoint =
                KeptConnectionEndpoint.add(
                        harness,
                        "llm",
                        "i-1",
                        (request, socket) -> {
                            if (request.id().equals("request-1")) {
                                RawEndpoint.write(socket, AnswerText.success(request.id(), EVENT));
                            } else {
                                RawEndpoint.write(socket, request.use() > 1 ? torn : "");
                                Thread.sleep(LATE_MILLIS);
                                RawEndpoint.write(socket, AnswerText.failure(request.id()));
                            }
                        });
        harness.configureForABusyMachineAndAwaitReady();
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(200);
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isNotEqualTo(200);
    }
}

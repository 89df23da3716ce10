package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a stream that has begun and goes on with another answer, or that neither goes on
 * nor ends: its caller gets the rest of the events, or a closed connection.
 */
class StreamContinuationTest {
    private static final String JSON = "content-type: application/json\r\n";

    private final GatewayHarness harness = new GatewayHarness();
    private final AtomicInteger requestCount = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @ParameterizedTest
    @ValueSource(strings = {"404 Not Found", "500 Internal Server Error", "200 OK"})
    void anotherAnswerAfterTheLastAllowedAttemptClosesTheConnection(String status)
            throws Exception {
        addEndpoints(2, firstEventThen(socket -> answerWhole(socket, status)));
        RawCaller.Received received = call("/chat/1");
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.complete()).as("complete").isFalse();
        assertThat(received.events()).isEqualTo(GatewayHarness.event(1));
        assertThat(requestCount.get()).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(strings = {"404 Not Found", "500 Internal Server Error", "200 OK"})
    void theStreamGoesOnAtAThirdEndpointAfterAnotherAnswer(String status) throws Exception {
        addEndpoints(
                3,
                firstEventThen(
                        socket -> {
                            if (requestCount.get() == 2) {
                                answerWhole(socket, status);
                            } else {
                                answerStream(socket, GatewayHarness.event(2));
                            }
                        }));
        RawCaller.Received received = call("/story/1");
        assertThat(received.complete()).as("complete").isTrue();
        assertThat(received.events()).isEqualTo(GatewayHarness.event(1) + GatewayHarness.event(2));
        assertThat(requestCount.get()).isEqualTo(3);
    }

    @Test
    void anotherAnswerFromTheOnlyEndpointClosesTheConnection() throws Exception {
        addEndpoints(1, firstEventThen(socket -> answerWhole(socket, "404 Not Found")));
        RawCaller.Received received = call("/chat/1");
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.events()).isEqualTo(GatewayHarness.event(1));
    }

    private RawCaller.Received call(String path) throws IOException {
        return RawCaller.call(harness.gateway().ports().get(0), path, Map.of());
    }

    /** Breaks the first stream off after its first event; the behavior gets later requests. */
    private RawEndpoint.Behavior firstEventThen(RawEndpoint.Behavior later) {
        return socket -> {
            if (requestCount.incrementAndGet() == 1) {
                RawEndpoint.write(
                        socket,
                        StreamText.head("transfer-encoding: chunked")
                                + StreamText.chunk(GatewayHarness.event(1)));
            } else {
                later.answer(socket);
            }
        };
    }

    private void addEndpoints(int count, RawEndpoint.Behavior behavior) throws Exception {
        for (int index = 1; index <= count; index++) {
            harness.addRawEndpoint("llm", "i-" + index, behavior);
        }
        StreamText.configureStoryRoute(harness);
    }

    private static void answerWhole(Socket socket, String status) throws IOException {
        String body = "{\"error\": \"no stream\"}";
        RawEndpoint.write(
                socket,
                "HTTP/1.1 "
                        + status
                        + "\r\nrequest-id: request-1\r\nserver-seal: seal-2\r\n"
                        + JSON
                        + "content-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    private static void answerStream(Socket socket, String events) throws IOException {
        RawEndpoint.write(
                socket,
                StreamText.head("transfer-encoding: chunked")
                        + StreamText.chunk(events)
                        + StreamText.LAST_CHUNK);
    }
}

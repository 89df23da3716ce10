package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an answer that is put together from two attempts, and against a status that is not
 * the endpoint's.
 */
class AnswerOfOneAttemptTest {
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
    @ValueSource(ints = {200, 201, 203, 206})
    void aStreamKeepsTheStatusOfItsEndpoint(int status) throws Exception {
        addEndpoints(stream(status, GatewayHarness.event(1)));
        assertThat(harness.call("/chat/1").status()).isEqualTo(status);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 206})
    void aStreamWithoutEventsKeepsTheStatusOfItsEndpoint(int status) throws Exception {
        addEndpoints(stream(status, ""));
        assertThat(harness.call("/chat/1").status()).isEqualTo(status);
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 205})
    void anEmptyStreamWhoseStatusAllowsNoBodyIsWrittenWithoutOne(int status) throws Exception {
        addEndpoints(stream(status, ""));
        RawCaller.Received received =
                RawCaller.call(
                        harness.gateway().ports().get(0), "/chat/1", Map.of("connection", "close"));
        assertThat(received.text()).startsWith("HTTP/1.1 " + status).endsWith("\r\n\r\n");
    }

    /** Gives the answers to the requests in the order of their arrival. */
    private void addEndpoints(String... answers) throws Exception {
        RawEndpoint.Behavior behavior =
                socket -> RawEndpoint.write(socket, answers[requestCount.getAndIncrement()]);
        for (String id : List.of("i-1", "i-2")) {
            harness.addRawEndpoint("llm", id, behavior);
        }
        harness.configureAndAwaitReady();
    }

    private static String stream(int status, String events) {
        return answer(
                status,
                "content-type: text/event-stream\r\ncontent-length: " + events.length(),
                events);
    }

    private static String answer(int status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nrequest-id: request-1\r\nserver-seal: seal-"
                + status
                + "\r\n"
                + headers
                + "\r\n\r\n"
                + body;
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against taking an answer that broke off for a complete one, where the answer has neither a
 * length nor chunks and ends with its connection.
 */
class UnframedAnswerTest {
    private static final String EVENT_STREAM = "content-type: text/event-stream\r\n";

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

    @Test
    void aWholeAnswerThatEndsWithItsConnectionReachesTheCaller() throws Exception {
        harness.addRawEndpoint("app", "i-1", socket -> answer(socket, "", "done"));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1").body()).isEqualTo("done");
    }

    @Test
    void aWholeAnswerWhoseConnectionIsResetIsNotComplete() throws Exception {
        harness.addRawEndpoint("app", "i-1", socket -> answerAndReset(socket, "", "do"));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1").status()).isEqualTo(502);
    }

    @Test
    void aStreamThatEndsWithItsConnectionReachesTheCaller() throws Exception {
        String events = GatewayHarness.event(1) + GatewayHarness.event(2);
        harness.addRawEndpoint("llm", "i-1", socket -> answer(socket, EVENT_STREAM, events));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/chat/1").body()).isEqualTo(events);
    }

    @Test
    void aStreamThatEndsInsideAnEventContinuesAtAnotherEndpoint() throws Exception {
        addBreakingEndpoints(
                socket -> answer(socket, EVENT_STREAM, GatewayHarness.event(1) + "id: 2\nda"));
        assertThat(harness.call("/chat/1").body())
                .isEqualTo(GatewayHarness.event(1) + GatewayHarness.event(2));
    }

    @Test
    void aStreamWhoseConnectionIsResetBetweenTwoEventsContinuesAtAnotherEndpoint()
            throws Exception {
        addBreakingEndpoints(
                socket -> answerAndReset(socket, EVENT_STREAM, GatewayHarness.event(1)));
        assertThat(harness.call("/chat/1").body())
                .isEqualTo(GatewayHarness.event(1) + GatewayHarness.event(2));
    }

    @Test
    void aStreamThatEndsWithoutAnyEventIsTriedAtAnotherEndpoint() throws Exception {
        harness.addRawEndpoint("llm", "i-1", this::answerOnSecondRequest);
        harness.addRawEndpoint("llm", "i-2", this::answerOnSecondRequest);
        harness.configureAndAwaitReady();
        assertThat(harness.call("/chat/1").body()).isEqualTo(GatewayHarness.event(1));
    }

    private void answerOnSecondRequest(Socket socket) throws IOException {
        boolean isFirst = requestCount.incrementAndGet() == 1;
        answer(socket, EVENT_STREAM, isFirst ? "" : GatewayHarness.event(1));
    }

    private void addBreakingEndpoints(RawEndpoint.Behavior breaksFirst) throws Exception {
        RawEndpoint.Behavior behavior =
                socket -> {
                    if (requestCount.incrementAndGet() == 1) {
                        breaksFirst.answer(socket);
                    } else {
                        answer(socket, EVENT_STREAM, GatewayHarness.event(2));
                    }
                };
        harness.addRawEndpoint("llm", "i-1", behavior);
        harness.addRawEndpoint("llm", "i-2", behavior);
        harness.configureAndAwaitReady();
    }

    private static void answer(Socket socket, String header, String body) throws IOException {
        RawEndpoint.write(socket, unframed(header, body));
    }

    private static void answerAndReset(Socket socket, String header, String body)
            throws IOException, InterruptedException {
        RawEndpoint.write(socket, unframed(header, body));
        RawEndpoint.reset(socket);
    }

    private static String unframed(String header, String body) {
        return "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n"
                + header
                + "\r\n"
                + body;
    }
}

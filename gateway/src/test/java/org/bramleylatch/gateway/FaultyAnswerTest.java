package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Behavior;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a request that loses an attempt to a late copy of a faulty answer, because it was
 * sent over the connection that had carried that answer.
 */
class FaultyAnswerTest {
    private static final int LATE_MILLIS = 50;

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
    @MethodSource("faultyStreams")
    void aLateCopyOfAFaultyAnswerCostsTheNextRequestNoAttempt(String faulty) throws Exception {
        addEndpoint(
                (request, socket) -> {
                    if (request.id().equals("request-1")) {
                        RawEndpoint.write(socket, AnswerText.success(request.id(), faulty));
                    } else {
                        writeBehindACopy(faulty, request, socket);
                    }
                });
        callAndIgnore("request-1");
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(200);
        assertThat(endpoint.requests()).extracting(Request::id).containsOnlyOnce("request-2");
    }

    /** Returns bodies that are whole by their length. */
    private static Stream<String> faultyStreams() {
        return Stream.of(
                GatewayHarness.event(1).trim(),
                "x\n\n" + AnswerText.events(1, 3),
                AnswerText.events(1, 2) + AnswerText.events(4, 5));
    }

    /** Calls; an answer that had begun breaks off. */
    private void callAndIgnore(String id) throws Exception {
        try {
            harness.callWithId("/chat/1", id);
        } catch (ExecutionException brokenOff) {
            assertThat(brokenOff).hasMessageContaining("closed");
        }
    }

    private void addEndpoint(Behavior behavior) throws Exception {
        endpoint = KeptConnectionEndpoint.add(harness, "llm", "i-1", behavior);
        harness.configureForABusyMachineAndAwaitReady();
    }

    private static void writeBehindACopy(String faulty, Request request, Socket socket)
            throws IOException, InterruptedException {
        if (request.use() > 1) {
            RawEndpoint.write(socket, AnswerText.success("request-1", faulty));
            Thread.sleep(LATE_MILLIS);
        }
        RawEndpoint.write(socket, AnswerText.success(request.id(), AnswerText.events(1, 1)));
    }
}

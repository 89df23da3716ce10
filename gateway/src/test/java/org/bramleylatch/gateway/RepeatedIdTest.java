package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.stream.Stream;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Behavior;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against passing on a late copy of an earlier attempt's answer, which bears the same id, as
 * the success of an attempt that the endpoint answered with a failure.
 */
class RepeatedIdTest {
    private static final int EVENTS = 8;
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
    @MethodSource("streamsWithoutASoundEvent")
    void aLateCopyOfAFailedAttemptsAnswerNeverAnswersTheNextAttempt(String faulty)
            throws Exception {
        addEndpoint(
                (request, socket) -> {
                    if (isFirst(request)) {
                        RawEndpoint.write(socket, AnswerText.success(request.id(), faulty));
                    } else {
                        writeCopyAndFail(request, socket);
                    }
                });
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(500);
    }

    @ParameterizedTest
    @MethodSource("streamsWithoutASoundEvent")
    void theNextAttemptOfARequestGoesOverAnotherConnection(String faulty) throws Exception {
        assertThatTheNextAttemptGoesOverAnotherConnection(faulty, sound());
    }

    @Test
    void theNextAttemptOfAnAnswerThatLacksAnEventGoesOverAnotherConnection() throws Exception {
        assertThatTheNextAttemptGoesOverAnotherConnection(
                AnswerText.events(1, 4) + AnswerText.events(6, EVENTS),
                AnswerText.events(5, EVENTS));
    }

    @Test
    void aLateCopyNeverAnswersTheRequestOfACallerThatUsesItsIdAgain() throws Exception {
        addEndpoint(
                (request, socket) -> {
                    if (isFirst(request)) {
                        RawEndpoint.write(socket, AnswerText.success(request.id(), sound()));
                    } else {
                        writeCopyAndFail(request, socket);
                    }
                });
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(200);
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(500);
    }

    /** Returns bodies that are whole by their length. */
    private static Stream<String> streamsWithoutASoundEvent() {
        return Stream.of(AnswerText.events(1, 1).trim(), "x\n\n" + sound());
    }

    private void assertThatTheNextAttemptGoesOverAnotherConnection(String faulty, String rest)
            throws Exception {
        addEndpoint(
                (request, socket) ->
                        RawEndpoint.write(
                                socket,
                                AnswerText.success(
                                        request.id(), isFirst(request) ? faulty : rest)));
        assertThat(harness.callWithId("/chat/1", "request-1").body()).isEqualTo(sound());
        assertThat(endpoint.requests())
                .hasSize(2)
                .extracting(Request::connection)
                .doesNotHaveDuplicates();
    }

    private void addEndpoint(Behavior behavior) throws Exception {
        endpoint = KeptConnectionEndpoint.add(harness, "llm", "i-1", behavior);
        harness.configureForABusyMachineAndAwaitReady();
    }

    /** Answers with a failure, behind the copy if the connection has carried the request before. */
    private static void writeCopyAndFail(Request request, Socket socket)
            throws IOException, InterruptedException {
        if (request.use() > 1) {
            RawEndpoint.write(socket, AnswerText.success(request.id(), sound()));
            Thread.sleep(LATE_MILLIS);
        }
        RawEndpoint.write(socket, AnswerText.failure(request.id()));
    }

    private static boolean isFirst(Request request) {
        return request.connection() == 1 && request.use() == 1;
    }

    private static String sound() {
        return AnswerText.events(1, EVENTS);
    }
}

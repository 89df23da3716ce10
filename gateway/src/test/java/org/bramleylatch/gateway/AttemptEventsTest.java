package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.regex.Pattern;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Behavior;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against logs that can't tell on which connection an answer arrived, which request on it
 * that was, or whose answer a caller got.
 */
@Timeout(20)
class AttemptEventsTest {
    private static final String EVENT = GatewayHarness.event(1);
    private static final Pattern SIGNATURE = Pattern.compile("signature=(\\S+)");

    private final GatewayHarness harness = new GatewayHarness();
    private RecordedEvents events;
    private KeptConnectionEndpoint endpoint;

    @BeforeEach
    void start() throws Exception {
        harness.start();
        events = RecordedEvents.startRecording();
    }

    @AfterEach
    void stop() throws IOException {
        events.stopRecording();
        endpoint.close();
        harness.stop();
    }

    @Test
    void anAnswerLeavesALineWithItsConnectionAndWhatItNames() throws Exception {
        addEndpoint(
                (request, socket) ->
                        RawEndpoint.write(socket, AnswerText.success(request.id(), EVENT)));
        harness.callWithId("/chat/1", "request-1");
        harness.callWithId("/chat/1", "request-2");
        List<String> answers = events.await(EventKind.ATTEMPT_ANSWERED, "", 2);
        assertThat(answers.get(0))
                .contains(
                        "connection=1 status=200 answeredId=request-1 connectionUses=1 signature=")
                .endsWith("verdict=ANSWER");
        assertThat(answers.get(1))
                .contains("connection=1 status=200 answeredId=request-2 connectionUses=2");
    }

    @Test
    void theLineOfWhatACallerGotBearsTheSignatureOfTheAnswerThatArrived() throws Exception {
        addEndpoint(
                (request, socket) ->
                        RawEndpoint.write(socket, AnswerText.success(request.id(), EVENT)));
        harness.callWithId("/chat/1", "request-1");
        harness.callWithId("/chat/1", "request-2");
        List<String> arrived = signatures(events.await(EventKind.ATTEMPT_ANSWERED, "", 2));
        List<String> passedOn = signatures(events.await(EventKind.ANSWER_ENDED, "signature=", 2));
        assertThat(arrived).doesNotHaveDuplicates();
        assertThat(passedOn).containsSubsequence(arrived);
    }

    @Test
    void anAttemptWhoseConnectionBreaksBeforeItsAnswerLeavesALineWithItsConnection()
            throws Exception {
        addEndpoint((request, socket) -> socket.close());
        harness.callWithId("/chat/1", "request-1");
        assertThat(events.await(EventKind.ATTEMPT_UNANSWERED, "", 1))
                .first()
                .asString()
                .contains("connection=1 connectionUses=1");
    }

    private void addEndpoint(Behavior behavior) throws Exception {
        endpoint = KeptConnectionEndpoint.add(harness, "llm", "i-1", behavior);
        harness.configureForABusyMachineAndAwaitReady();
    }

    private static List<String> signatures(List<String> details) {
        return details.stream()
                .map(SIGNATURE::matcher)
                .flatMap(matcher -> matcher.results())
                .map(found -> found.group(1))
                .toList();
    }
}

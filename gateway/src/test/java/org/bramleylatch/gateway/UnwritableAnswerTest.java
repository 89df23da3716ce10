package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RouterInput.CallerDisconnected;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.DeliverTokens;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RunState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a caller that waits for good because its answer could not be written: its
 * connection closes, and the router forgets the request.
 */
class UnwritableAnswerTest {
    private static final int NO_STATUS = -1;

    private final AnsweringServer server = new AnsweringServer();

    @AfterEach
    void stop() {
        server.stop();
    }

    @Test
    void aWholeAnswerToABegunStreamClosesTheConnection() throws Exception {
        RawCaller.Received received =
                server.callAndAnswer(
                        id -> List.of(event(id), new DeliverServiceAnswer(id, 404, "no stream")));
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.text()).doesNotContain("no stream");
        assertThat(server.inputs).anyMatch(CallerDisconnected.class::isInstance);
    }

    @Test
    void aRefusalOfABegunStreamClosesTheConnection() throws Exception {
        RawCaller.Received received =
                server.callAndAnswer(
                        id ->
                                List.of(
                                        event(id),
                                        new Refuse(
                                                id,
                                                ResultCode.ANSWER_INCOMPLETE,
                                                RunState.RAN,
                                                "no stream")));
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.text()).doesNotContain("no stream");
    }

    @Test
    void anAnswerWithAnInvalidStatusClosesTheConnection() throws Exception {
        RawCaller.Received received =
                server.callAndAnswer(
                        id -> List.of(new DeliverServiceAnswer(id, NO_STATUS, "done")));
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.text()).isEmpty();
        assertThat(server.inputs).anyMatch(CallerDisconnected.class::isInstance);
    }

    private static DeliverTokens event(RequestId id) {
        return new DeliverTokens(id, GatewayHarness.event(1));
    }
}

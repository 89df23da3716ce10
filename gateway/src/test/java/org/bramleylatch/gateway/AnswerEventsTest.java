package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.DeliverTokens;
import org.bramleylatch.core.RouterOutput.FinishAnswer;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RunState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against logs that can't tell a complete answer from one that broke off, nor who closed the
 * connection.
 */
@Timeout(20)
class AnswerEventsTest {
    private static final String STARTED = "ANSWER_STARTED request=request-1~1";
    private static final String ENDED = "ANSWER_ENDED request=request-1~1";

    private final AnsweringServer server = new AnsweringServer();

    @AfterEach
    void stop() {
        server.stop();
    }

    @Test
    void aWholeAnswerLeavesOneLineWithItsStatus() throws Exception {
        server.callAndAnswer(id -> List.of(new DeliverServiceAnswer(id, 404, "none")));
        assertThat(server.awaitEnd()).containsExactly(ENDED + " status=404 complete");
    }

    @Test
    void aRefusalLeavesOneLineWithItsStatus() throws Exception {
        server.callAndAnswer(
                id -> List.of(new Refuse(id, ResultCode.OVERLOADED, RunState.NOT_RUN, "too many")));
        assertThat(server.awaitEnd()).containsExactly(ENDED + " status=503 complete");
    }

    @Test
    void aStreamLeavesALineWhenItBeginsAndOneWhenItIsComplete() throws Exception {
        server.callAndAnswer(
                id -> List.of(event(id), event(id), new FinishAnswer(id, "stop", 1, 2)));
        assertThat(server.awaitEnd()).containsExactly(STARTED, ENDED + " status=200 complete");
    }

    @Test
    void aStreamThatTheRouterBreaksOffSaysSoAndWhy() throws Exception {
        server.callAndAnswer(
                id ->
                        List.of(
                                event(id),
                                new Refuse(
                                        id,
                                        ResultCode.ANSWER_INCOMPLETE,
                                        RunState.RAN,
                                        "no endpoint left")));
        assertThat(server.awaitEnd())
                .containsExactly(
                        STARTED,
                        ENDED + " status=200 connection closed by the router: ANSWER_INCOMPLETE");
    }

    @Test
    void aStreamThatItsCallerLeavesSaysSo() throws Exception {
        server.callAndLeave(id -> List.of(event(id)));
        assertThat(server.awaitEnd())
                .containsExactly(STARTED, ENDED + " status=200 connection closed by the caller");
    }

    @Test
    void anAnswerThatCannotBeWrittenSaysSo() throws Exception {
        server.callAndAnswer(id -> List.of(new DeliverServiceAnswer(id, -1, "none")));
        assertThat(server.awaitEnd())
                .containsExactly(
                        ENDED + " connection closed by the router: answer could not be written");
    }

    private static DeliverTokens event(RequestId id) {
        return new DeliverTokens(id, GatewayHarness.event(1));
    }
}

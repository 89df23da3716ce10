package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterInput.ServiceAnswered;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a begun stream that goes on with anything but the rest of its own events. */
class BegunStreamTest {
    private final RouterHarness router = new RouterHarness().endpoints("engine-1", "engine-2");

    /** Guards against an answer that is handed to a caller who has got the head of another. */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500})
    void aWholeAnswerToABegunStreamIsAFailedAttempt(int status) {
        AttemptId resumed = resumeAfterFirstToken();
        router.receive(new ServiceAnswered(resumed, status, "no stream"));
        StartAttempt next = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(router.outputs(DeliverServiceAnswer.class)).isEmpty();
        assertThat(next.attempt()).isNotEqualTo(resumed);
        assertThat(next.position()).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500})
    void aBegunStreamWithoutAnAttemptLeftIsBrokenOffAfterAWholeAnswer(int status) {
        AttemptId attempt = resumeAfterFirstToken();
        while (router.outputs(Refuse.class).isEmpty()) {
            attempt = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
            router.receive(new ServiceAnswered(attempt, status, "no stream"));
            assertThat(router.outputs(DeliverServiceAnswer.class)).isEmpty();
        }
        Refuse refusal = router.lastOutput(Refuse.class).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ResultCode.ANSWER_INCOMPLETE);
        assertThat(refusal.runState()).isEqualTo(RunState.RAN);
        assertThat(router.world.requests().size()).isZero();
    }

    @Test
    void aWholeAnswerToAStreamWithoutTokensReachesTheCaller() {
        AttemptId attempt = router.startChat(100, 50);
        router.receive(new ServiceAnswered(attempt, 404, "no such model"));
        assertThat(router.outputs(DeliverServiceAnswer.class))
                .extracting(DeliverServiceAnswer::status)
                .containsExactly(404);
    }

    /** Guards against events that come twice, as a new run can't be told where to go on. */
    @Test
    void aStreamThatCannotBeResumedIsBrokenOffWithItsFirstAttempt() {
        AttemptId attempt = router.startChat(100, 50);
        router.receive(new RouterInput.TokensArrived(attempt, 0, 1, "word ", false));
        router.receive(new RouterInput.AttemptFailed(attempt, RunState.RAN, "broken"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        assertThat(router.lastOutput(Refuse.class).orElseThrow().code())
                .isEqualTo(ResultCode.ANSWER_INCOMPLETE);
    }

    /** Guards against a request that runs twice because its caller reads slowly. */
    @Test
    void aSlowCallerOfAStreamThatMayRunOnlyOnceKeepsItsAttempt() {
        AttemptId attempt = startStreamThatMayRunOnlyOnce();
        router.receiveToken(attempt, 0);
        assertNothingRunsAgainAfterAPause();
    }

    @Test
    void aSlowCallerOfAStreamThatCannotBeResumedKeepsItsAttempt() {
        AttemptId attempt = router.startChat(100, 50);
        router.receive(new RouterInput.TokensArrived(attempt, 0, 1, "word ", false));
        assertNothingRunsAgainAfterAPause();
    }

    private AttemptId startStreamThatMayRunOnlyOnce() {
        RouteOptions standard = RouteOptions.standard();
        RouteOptions withoutClaim =
                new RouteOptions(
                        standard.host(),
                        standard.allowsAnonymous(),
                        false,
                        true,
                        true,
                        false,
                        standard.maxAttempts(),
                        0,
                        0,
                        0,
                        List.of());
        RouteRow chat = RouterHarness.CHAT;
        RouteRow route =
                new RouteRow(
                        chat.name(),
                        RouteKind.CHAT,
                        chat.selector(),
                        chat.backEnd(),
                        false,
                        0,
                        List.of(),
                        Optional.of(withoutClaim));
        RequestKey key = router.arrive(route, 100, 50);
        router.receive(
                new RouterInput.ReserveGranted(RouterHarness.KEEPER, key, RouterHarness.GRANT));
        return router.lastOutput(StartAttempt.class).orElseThrow().attempt();
    }

    private void assertNothingRunsAgainAfterAPause() {
        RequestId request = router.lastOutput(StartAttempt.class).orElseThrow().request();
        router.receive(new RouterInput.CallerPaused(request, true));
        router.advance(2 * RouterLimits.standalone().pauseTimeoutMillis());
        router.receive(new RouterInput.CallerPaused(request, false));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        assertThat(router.outputs(RouterOutput.CancelAttempt.class)).isEmpty();
        assertThat(router.world.attempts().size()).isEqualTo(1);
    }

    /** Breaks a chat off after its first token and returns the attempt that continues it. */
    private AttemptId resumeAfterFirstToken() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        router.receive(new RouterInput.AttemptFailed(attempt, RunState.RAN, "broken"));
        return router.lastOutput(StartAttempt.class).orElseThrow().attempt();
    }
}

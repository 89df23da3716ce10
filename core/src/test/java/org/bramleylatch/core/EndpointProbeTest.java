package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.EndpointProbed;
import org.bramleylatch.core.RouterInput.EndpointProbed.Outcome;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.ProbeEndpoint;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a dead endpoint that is waited for as long as its callers wait. */
class EndpointProbeTest {
    private static final long STEP_MILLIS = 10;
    private static final long NOTICE_MILLIS = 900;
    private static final long PROBE_MILLIS = 1_300;
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final EndpointId FIRST = EndpointId.of("ordnerei-1");
    private static final RouteRow SAFE = route(RouteKind.SERVICE, "ordnerei", true);
    private static final RouteRow UNSAFE = route(RouteKind.SERVICE, "ordnerei", false);
    private static final RouteRow STREAM = route(RouteKind.CHAT, "seilhelfer", true);

    private final RouterHarness router =
            new RouterHarness(
                    Placement.byAffinity(), RouterLimits.colocatedWithKeeper(56, 200, 10_000));

    @BeforeEach
    void list() {
        router.endpoints("ordnerei-1");
    }

    @Test
    void aSilentEndpointIsProbed() {
        start(UNSAFE);
        pass(NOTICE_MILLIS - STEP_MILLIS);
        assertThat(router.outputs(ProbeEndpoint.class)).isEmpty();
        pass(STEP_MILLIS);
        assertThat(router.outputs(ProbeEndpoint.class)).containsExactly(new ProbeEndpoint(FIRST));
    }

    @Test
    void aRefusedProbeEndsARequestThatMayNotBeRepeatedWithoutAPromiseThatItDidNotRun() {
        start(UNSAFE);
        pass(NOTICE_MILLIS);
        answerProbe(FIRST, Outcome.REFUSED);
        assertEndedAsUnknown("probe=REFUSED");
    }

    @Test
    void twoUnreachableProbesEndARequestThatMayNotBeRepeatedWithoutAPromiseThatItDidNotRun() {
        start(UNSAFE);
        pass(NOTICE_MILLIS);
        pass(PROBE_MILLIS);
        answerProbe(FIRST, Outcome.UNREACHABLE);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(2);
        pass(PROBE_MILLIS);
        answerProbe(FIRST, Outcome.UNREACHABLE);
        assertEndedAsUnknown("probe=UNREACHABLE");
        assertThat(router.world.crashTables().ownCrashes().size()).isZero();
    }

    @Test
    void aRequestThatMayBeRepeatedLeavesADeadEndpointAtOnce() {
        start(SAFE);
        router.endpoints("ordnerei-1", "ordnerei-2");
        pass(NOTICE_MILLIS);
        answerProbe(FIRST, Outcome.UNREACHABLE);
        assertThat(router.lastOutput(StartAttempt.class).orElseThrow().endpoint())
                .isEqualTo(EndpointId.of("ordnerei-2"));
    }

    @Test
    void aProbeThatConnectsDoesNotEndTheWait() {
        AttemptId attempt = start(UNSAFE);
        passAnsweringProbes(10_000);
        router.receive(new RouterInput.ServiceAnswered(attempt, 200, "done"));
        assertThat(router.outputs(DeliverServiceAnswer.class)).hasSize(1);
    }

    @Test
    void aPathThatComesBackAfterAnUnreachableProbeDoesNotEndTheWait() {
        AttemptId attempt = start(UNSAFE);
        pass(NOTICE_MILLIS);
        pass(PROBE_MILLIS);
        answerProbe(FIRST, Outcome.UNREACHABLE);
        answerProbe(FIRST, Outcome.CONNECTED);
        passAnsweringProbes(5_000);
        answerProbe(FIRST, Outcome.UNREACHABLE);
        router.receive(new RouterInput.ServiceAnswered(attempt, 200, "done"));
        assertThat(router.outputs(DeliverServiceAnswer.class)).hasSize(1);
    }

    @Test
    void aProbeThatCouldNotBeTriedDoesNotEndTheWait() {
        AttemptId attempt = start(UNSAFE);
        pass(NOTICE_MILLIS);
        answerProbe(FIRST, Outcome.NOT_TRIED);
        router.receive(new RouterInput.ServiceAnswered(attempt, 200, "done"));
        assertThat(router.outputs(DeliverServiceAnswer.class)).hasSize(1);
    }

    @Test
    void anEndpointThatDiesDuringALongSilenceIsFoundByALaterProbe() {
        start(UNSAFE);
        pass(NOTICE_MILLIS);
        answerProbe(FIRST, Outcome.CONNECTED);
        pass(2_000);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(2);
        answerProbe(FIRST, Outcome.REFUSED);
        assertEndedAsUnknown("probe=REFUSED");
    }

    @Test
    void anAttemptThatWentOnAfterTheProbeWasSentIsNotEndedByIt() {
        router.endpoints("engine-1");
        AttemptId attempt = start(STREAM);
        pass(NOTICE_MILLIS);
        router.receiveToken(attempt, 0);
        answerProbe(EndpointId.of("engine-1"), Outcome.REFUSED);
        assertThat(router.outputs(Refuse.class)).isEmpty();
        assertThat(router.world.attempts().has(attempt)).isTrue();
    }

    @Test
    void anEndpointThatLeavesMayCloseItsPortBeforeItFinishesItsRequests() {
        AttemptId attempt = start(UNSAFE);
        router.receive(new RouterInput.EndpointReported(FIRST, 0, true));
        pass(NOTICE_MILLIS);
        answerProbe(FIRST, Outcome.REFUSED);
        router.receive(new RouterInput.ServiceAnswered(attempt, 200, "done"));
        assertThat(router.outputs(DeliverServiceAnswer.class)).hasSize(1);
    }

    @Test
    void anEndpointIsProbedAtMostOnceASecondHoweverManyOfItsAttemptsAreSilent() {
        for (int number = 0; number < 100; number++) {
            start(UNSAFE);
            pass(STEP_MILLIS);
        }
        passAnsweringProbes(9_000);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSizeBetween(3, 10);
    }

    @Test
    void theProbesOfALongSilenceBecomeRarer() {
        start(UNSAFE);
        passAnsweringProbes(TIMEOUT_MILLIS - STEP_MILLIS);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSizeBetween(4, 6);
    }

    @Test
    void anEndpointThatAnswersOtherRequestsIsNotProbed() {
        router.endpoints("engine-1");
        AttemptId busy = start(STREAM);
        start(STREAM);
        for (int position = 0; position < 20; position++) {
            pass(100);
            router.receiveToken(busy, position);
        }
        assertThat(router.outputs(ProbeEndpoint.class)).isEmpty();
    }

    @Test
    void aProbeWhoseOutcomeIsLostIsSentAgain() {
        start(UNSAFE);
        pass(5_000);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSizeGreaterThan(1);
    }

    @Test
    void aSilentEndpointThatRefusesAProbeHasCrashedAndIsNotProbedTwice() {
        router.endpoints("engine-1");
        startPrompt("part");
        pass(NOTICE_MILLIS);
        answerProbe(EndpointId.of("engine-1"), Outcome.REFUSED);
        assertThat(router.world.crashTables().ownCrashes().size()).isEqualTo(1);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(1);
    }

    @Test
    void aConnectionThatBreaksWhileAProbeIsUnderWayIsProbedAgainBeforeTheCrashIsRuledOut() {
        router.endpoints("engine-1");
        EndpointId engine = EndpointId.of("engine-1");
        AttemptId attempt = startPrompt("part");
        pass(NOTICE_MILLIS + STEP_MILLIS);
        router.receive(
                new AttemptFailed(
                        attempt, RunState.UNKNOWN, "reset", AttemptFailed.Cause.CONNECTION_LOST));
        assertThat(router.outputs(ProbeEndpoint.class)).as("one at a time").hasSize(1);
        answerProbe(engine, Outcome.CONNECTED);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(2);
        answerProbe(engine, Outcome.REFUSED);
        assertThat(router.world.crashTables().ownCrashes().size()).isEqualTo(1);
    }

    @Test
    void anEndpointThatIsGoneFromTheRegistryIsNotProbedOverAndOverAfterABrokenConnection() {
        router.endpoints("engine-1", "engine-2");
        AttemptId attempt = startPrompt("part");
        EndpointId engine = router.lastOutput(StartAttempt.class).orElseThrow().endpoint();
        router.receive(
                new AttemptFailed(
                        attempt, RunState.UNKNOWN, "reset", AttemptFailed.Cause.CONNECTION_LOST));
        router.receive(new RouterInput.EndpointWithdrawn(engine));
        assertThat(router.world.endpoints().has(engine)).isFalse();
        answerProbe(engine, Outcome.CONNECTED);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(1);
        assertThat(router.world.crashTables().unconfirmed().size()).isZero();
    }

    @Test
    void aPathThatIsMissingAtOnceIsProbedNoMoreThanOnceASecond() {
        start(UNSAFE);
        pass(NOTICE_MILLIS);
        answerProbe(FIRST, Outcome.UNREACHABLE);
        pass(NOTICE_MILLIS);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(1);
        pass(NOTICE_MILLIS);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(2);
    }

    private void assertEndedAsUnknown(String reason) {
        Refuse refusal = router.lastOutput(Refuse.class).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ResultCode.ENDPOINT_FAILED);
        assertThat(refusal.runState()).isEqualTo(RunState.UNKNOWN);
        assertThat(refusal.detail()).contains(reason);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    private void answerProbe(EndpointId endpoint, Outcome outcome) {
        router.receive(new EndpointProbed(endpoint, outcome, "test"));
    }

    private AttemptId start(RouteRow route) {
        router.arriveWithin(route, TIMEOUT_MILLIS);
        return router.lastOutput(StartAttempt.class).orElseThrow().attempt();
    }

    private AttemptId startPrompt(String part) {
        router.arriveWithin(STREAM, TIMEOUT_MILLIS, part);
        return router.lastOutput(StartAttempt.class).orElseThrow().attempt();
    }

    private void pass(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += STEP_MILLIS) {
            router.advance(STEP_MILLIS);
        }
    }

    /** Lets time pass while the endpoint accepts the connection of each probe. */
    private void passAnsweringProbes(long millis) {
        int answered = router.outputs(ProbeEndpoint.class).size();
        for (long passedMillis = 0; passedMillis < millis; passedMillis += STEP_MILLIS) {
            router.advance(STEP_MILLIS);
            if (router.outputs(ProbeEndpoint.class).size() > answered) {
                answered++;
                answerProbe(FIRST, Outcome.CONNECTED);
            }
        }
    }

    private static RouteRow route(RouteKind kind, String backEnd, boolean repeatable) {
        RouteOptions options =
                new RouteOptions(
                        Optional.empty(), true, false, true, true, false, 2, 0, 0, 400, List.of());
        return new RouteRow(
                RouteName.of("route"),
                kind,
                "/route/",
                backEnd,
                repeatable,
                0,
                List.of(),
                Optional.of(options));
    }
}

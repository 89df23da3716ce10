package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.DeliverTokens;
import org.bramleylatch.core.RouterOutput.FinishAnswer;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.Test;

/** Guards against answers of sound endpoints that are cut off because of a short silence. */
class SilentEndpointTest {
    private static final long STEP_MILLIS = 10;
    private static final long SILENCE_MILLIS = 1_400;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long PATIENCE_MILLIS = 2_000;
    private static final VmLoad LATE = new VmLoad(0, 0, 250);
    private static final RouteRow STREAM = route(RouteKind.CHAT, "seilhelfer", true);
    private static final RouteRow SAFE = route(RouteKind.SERVICE, "ordnerei", true);
    private static final RouteRow UNSAFE = route(RouteKind.SERVICE, "ordnerei", false);

    private final RouterHarness router =
            new RouterHarness(
                    Placement.byAffinity(), RouterLimits.colocatedWithKeeper(56, 200, 10_000));

    @Test
    void aStreamThatIsSilentBeforeItsFirstTokenIsWaitedForAtTheOnlyEndpoint() {
        router.endpoints("engine-1");
        AttemptId attempt = start(STREAM, TIMEOUT_MILLIS);
        pass(SILENCE_MILLIS);
        assertCompletes(attempt);
    }

    @Test
    void aStreamThatIsSilentBeforeItsFirstTokenIsRunOnceThoughThereAreOtherEndpoints() {
        router.endpoints("engine-1", "engine-2", "engine-3");
        AttemptId attempt = start(STREAM, TIMEOUT_MILLIS);
        pass(SILENCE_MILLIS);
        assertCompletes(attempt);
    }

    @Test
    void aStreamThatIsSilentAfterItsFirstTokenIsRunOnceThoughThereAreOtherEndpoints() {
        router.endpoints("engine-1", "engine-2", "engine-3");
        AttemptId attempt = start(STREAM, TIMEOUT_MILLIS);
        router.receiveToken(attempt, 0);
        pass(SILENCE_MILLIS);
        router.receiveToken(attempt, 1);
        router.receive(new RouterInput.AnswerEnded(attempt, 2, "stop"));
        assertThat(router.outputs(DeliverTokens.class)).hasSize(2);
        assertThat(router.outputs(FinishAnswer.class)).hasSize(1);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    @Test
    void aSilentStreamWhoseAttemptsAreUsedUpIsWaitedFor() {
        router.endpoints("engine-1", "engine-2", "engine-3");
        AttemptId first = start(STREAM, TIMEOUT_MILLIS);
        router.receive(new RouterInput.AttemptFailed(first, RunState.UNKNOWN, "broken"));
        AttemptId second = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        pass(SILENCE_MILLIS);
        router.receiveToken(second, 0);
        router.receive(new RouterInput.AnswerEnded(second, 1, "stop"));
        assertThat(router.outputs(FinishAnswer.class)).hasSize(1);
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
    }

    @Test
    void aSilentRequestThatMayRunOnceIsWaitedFor() {
        router.endpoints("ordnerei-1", "ordnerei-2");
        AttemptId attempt = start(UNSAFE, TIMEOUT_MILLIS);
        pass(TIMEOUT_MILLIS - STEP_MILLIS);
        router.receive(new RouterInput.ServiceAnswered(attempt, 200, "done"));
        assertServedOnce();
    }

    @Test
    void aSilentRequestThatMayBeRepeatedIsWaitedForWhileAnotherEndpointCanStillAnswerLater() {
        router.endpoints("ordnerei-1", "ordnerei-2");
        AttemptId attempt = start(SAFE, TIMEOUT_MILLIS);
        pass(2_500);
        router.receive(new RouterInput.ServiceAnswered(attempt, 200, "done"));
        assertServedOnce();
    }

    @Test
    void aSilentEndpointIsWaitedForWhileTheOtherOnesAreFull() {
        router.receive(
                new RouterInput.EndpointsListed(
                        List.of(
                                RouterHarness.endpoint("ordnerei-1").withSlots(1),
                                RouterHarness.endpoint("ordnerei-2").withSlots(1))));
        start(SAFE, TIMEOUT_MILLIS);
        AttemptId second = start(SAFE, TIMEOUT_MILLIS);
        pass(TIMEOUT_MILLIS - STEP_MILLIS);
        router.receive(new RouterInput.ServiceAnswered(second, 200, "done"));
        assertThat(router.outputs(DeliverServiceAnswer.class)).hasSize(1);
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
    }

    @Test
    void aConnectionThatIsSilentForGoodIsRetriedWhileItsCallerStillWaits() {
        router.endpoints("engine-1", "engine-2");
        start(STREAM, TIMEOUT_MILLIS);
        pass(PATIENCE_MILLIS - 400);
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
        assertThat(eventDetail(EventKind.ATTEMPT_FAILED))
                .contains("silentMillis=1600 rule: another endpoint can still answer in time");
        router.receiveToken(router.lastOutput(StartAttempt.class).orElseThrow().attempt(), 0);
        assertThat(router.outputs(DeliverTokens.class)).hasSize(1);
    }

    /** Guards against callers that leave a stream whose connection has gone silent for good. */
    @Test
    void aStreamThatIsSilentForGoodAfterItsFirstTokenIsResumedWhileItsCallerStillWaits() {
        router.endpoints("engine-1", "engine-2");
        AttemptId attempt = start(STREAM, TIMEOUT_MILLIS);
        pass(300);
        router.receiveToken(attempt, 0);
        pass(PATIENCE_MILLIS - 400 - STEP_MILLIS);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        pass(STEP_MILLIS);
        StartAttempt resumed = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(resumed.attempt()).isNotEqualTo(attempt);
        assertThat(resumed.position()).isEqualTo(1);
    }

    @Test
    void aStreamThatHasBegunIsResumedOnceAProbeShowsThatItsEndpointHasEnded() {
        router.endpoints("engine-1", "engine-2");
        AttemptId attempt = start(STREAM, TIMEOUT_MILLIS);
        EndpointId endpoint = router.lastOutput(StartAttempt.class).orElseThrow().endpoint();
        router.receiveToken(attempt, 0);
        pass(SILENCE_MILLIS);
        router.receive(
                new RouterInput.EndpointProbed(
                        endpoint, RouterInput.EndpointProbed.Outcome.REFUSED, "refused"));
        StartAttempt resumed = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(resumed.attempt()).isNotEqualTo(attempt);
        assertThat(resumed.position()).isEqualTo(1);
    }

    /** Guards against a retry that waits at a mute endpoint until after its caller has left. */
    @Test
    void afterARetryThePatienceStillCountsFromWhenTheCallerBeganToWait() {
        router.endpoints("engine-1", "engine-2", "engine-3");
        AttemptId first = start(STREAM, TIMEOUT_MILLIS);
        pass(1_000);
        router.receive(new RouterInput.AttemptFailed(first, RunState.NOT_RUN, "refused"));
        pass(PATIENCE_MILLIS - 1_000 - 400 - STEP_MILLIS);
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
        pass(STEP_MILLIS);
        assertThat(router.outputs(StartAttempt.class)).hasSize(3);
    }

    @Test
    void aSilentRequestWithAShortDeadlineIsRetriedAtTheLastMomentBeforeIt() {
        router.endpoints("ordnerei-1", "ordnerei-2");
        start(SAFE, 1_500);
        pass(1_500 - 400 - STEP_MILLIS);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        pass(STEP_MILLIS);
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
    }

    @Test
    void aRequestThatNoOtherEndpointCouldAnswerInTimeIsWaitedForUntilItsDeadline() {
        router.endpoints("ordnerei-1", "ordnerei-2");
        AttemptId attempt = start(SAFE, 780);
        pass(780 - STEP_MILLIS);
        router.receive(new RouterInput.ServiceAnswered(attempt, 200, "done"));
        assertServedOnce();
    }

    /** Guards against a wait at a mute endpoint although another one could answer in time. */
    @Test
    void aRequestWhoseLastMomentComesBeforeASilenceIsNoticedIsRetriedAtThatMoment() {
        router.endpoints("ordnerei-1", "ordnerei-2");
        start(SAFE, 1_200);
        pass(1_200 - 400 - STEP_MILLIS);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        pass(STEP_MILLIS);
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
    }

    @Test
    void attemptsThatAreSilentTogetherMoveOnlyToPlacesThatAreFree() {
        router.receive(
                new RouterInput.EndpointsListed(
                        List.of(
                                RouterHarness.endpoint("ordnerei-1").withSlots(4),
                                RouterHarness.endpoint("ordnerei-2").withSlots(4))));
        for (int number = 0; number < 6; number++) {
            start(SAFE, TIMEOUT_MILLIS);
        }
        pass(TIMEOUT_MILLIS - STEP_MILLIS);
        assertThat(router.world.queuedRequests()).isEmpty();
        assertThat(router.world.attempts().size()).isEqualTo(6);
    }

    @Test
    void aSilenceThatIsNoticedBeforeTheFirstTokenCountsOnceAsOverload() {
        router.endpoints("engine-1");
        start(STREAM, TIMEOUT_MILLIS);
        pass(890);
        assertThat(concurrency("engine-1")).isEqualTo(ConcurrencyLimit.unlimited());
        pass(STEP_MILLIS);
        ConcurrencyLimit noticed = concurrency("engine-1");
        assertThat(noticed.requests()).isLessThan(10);
        pass(5_000);
        assertThat(concurrency("engine-1")).isEqualTo(noticed);
    }

    /** Guards against a VM that is late and lowers the limits of all endpoints that it uses. */
    @Test
    void aSilenceThatIsNoticedByAVmThatIsLateDoesNotCountAsOverload() {
        router.endpoints("engine-1");
        router.receive(new RouterInput.LoadMeasured(LATE));
        start(STREAM, TIMEOUT_MILLIS);
        pass(SILENCE_MILLIS);
        assertThat(concurrency("engine-1")).isEqualTo(ConcurrencyLimit.unlimited());
    }

    /** Guards against a VM that is late and ejects the endpoints whose answers it has not read. */
    @Test
    void anAttemptThatIsGivenUpByAVmThatIsLateIsNotHeldAgainstItsEndpoint() {
        router.endpoints("engine-1", "engine-2");
        router.receive(new RouterInput.LoadMeasured(LATE));
        start(STREAM, TIMEOUT_MILLIS);
        pass(PATIENCE_MILLIS - 400);
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
        assertThat(router.world.endpoints().rows())
                .allMatch(row -> row.health().equals(EndpointHealth.healthy()));
    }

    /** Guards against answers that a VM which is late cuts off as its own probe timed out. */
    @Test
    void aProbeThatTimesOutOnAVmThatIsLateEndsNoAttempt() {
        router.endpoints("engine-1", "engine-2");
        router.receive(new RouterInput.LoadMeasured(LATE));
        AttemptId attempt = start(STREAM, TIMEOUT_MILLIS);
        EndpointId endpoint = router.lastOutput(StartAttempt.class).orElseThrow().endpoint();
        pass(SILENCE_MILLIS);
        router.receive(
                new RouterInput.EndpointProbed(
                        endpoint, RouterInput.EndpointProbed.Outcome.UNREACHABLE, "timed out"));
        assertCompletes(attempt);
    }

    @Test
    void aProbeThatIsRefusedEndsTheAttemptsOfAVmThatIsLate() {
        router.endpoints("engine-1", "engine-2");
        router.receive(new RouterInput.LoadMeasured(LATE));
        start(STREAM, TIMEOUT_MILLIS);
        EndpointId endpoint = router.lastOutput(StartAttempt.class).orElseThrow().endpoint();
        pass(SILENCE_MILLIS);
        router.receive(
                new RouterInput.EndpointProbed(
                        endpoint, RouterInput.EndpointProbed.Outcome.REFUSED, "refused"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
        assertThat(router.world.endpoints().find(endpoint).orElseThrow().health())
                .isNotEqualTo(EndpointHealth.healthy());
    }

    @Test
    void theLogTellsWhenASilenceWasNoticedAndWhatWasDone() {
        router.endpoints("engine-1");
        start(STREAM, TIMEOUT_MILLIS);
        pass(SILENCE_MILLIS);
        assertThat(eventDetail(EventKind.ATTEMPT_SILENT))
                .startsWith(
                        "engine-1 silentMillis=900 position=0 probe=sent repeatable=true"
                                + " retryInMillis=700 callerLeavesInMillis=1100 key=");
    }

    private ConcurrencyLimit concurrency(String endpoint) {
        return router.world.endpoints().find(EndpointId.of(endpoint)).orElseThrow().concurrency();
    }

    private String eventDetail(EventKind kind) {
        List<Event> events =
                router.outputs(RouterOutput.Note.class).stream()
                        .map(RouterOutput.Note::event)
                        .filter(event -> event.kind() == kind)
                        .toList();
        assertThat(events).hasSize(1);
        return events.get(0).detail();
    }

    private void assertCompletes(AttemptId attempt) {
        router.receiveToken(attempt, 0);
        router.receive(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        assertThat(router.outputs(Refuse.class)).isEmpty();
        assertThat(router.outputs(DeliverTokens.class)).hasSize(1);
        assertThat(router.outputs(FinishAnswer.class)).hasSize(1);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    private void assertServedOnce() {
        assertThat(router.outputs(Refuse.class)).isEmpty();
        assertThat(router.outputs(DeliverServiceAnswer.class)).hasSize(1);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    private AttemptId start(RouteRow route, long timeoutMillis) {
        router.arriveWithin(route, timeoutMillis);
        return router.lastOutput(StartAttempt.class).orElseThrow().attempt();
    }

    private void pass(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += STEP_MILLIS) {
            router.advance(STEP_MILLIS);
        }
    }

    private static RouteRow route(RouteKind kind, String backEnd, boolean repeatable) {
        RouteOptions options =
                new RouteOptions(
                        Optional.empty(),
                        true,
                        false,
                        true,
                        true,
                        false,
                        2,
                        0,
                        0,
                        400,
                        List.of(),
                        kind == RouteKind.CHAT ? Optional.of(PATIENCE_MILLIS) : Optional.empty());
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

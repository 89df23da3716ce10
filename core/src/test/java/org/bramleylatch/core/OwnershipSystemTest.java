package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.Optional;
import org.bramleylatch.core.RouterOutput.CancelAttempt;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that wait for nothing until their caller gives up, because what they
 * waited for was lost.
 */
class OwnershipSystemTest {
    private static final long TWO_CHECKS_MILLIS = 2_000;

    private final RouterHarness router = new RouterHarness().endpoints("engine-1", "ordnerei-1");

    @Test
    void aRunningRequestWithoutItsAttemptIsRefusedAsPossiblyRun() {
        AttemptId attempt = router.startChat(100, 50);
        router.world.attempts().remove(attempt);
        passTwoChecks();
        assertRefused(ResultCode.INTERNAL, RunState.UNKNOWN);
    }

    @Test
    void aBegunAnswerWithoutItsAttemptIsBrokenOffAndBilledForWhatReachedTheCaller() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        router.world.attempts().remove(attempt);
        passTwoChecks();
        assertRefused(ResultCode.INTERNAL, RunState.RAN);
        assertThat(router.messagesToKeepers(KeeperInput.UsageSubmitted.class))
                .extracting(given -> given.usage().tokens())
                .containsExactly(101L);
    }

    @Test
    void aQueuedRequestThatIsNotInTheQueueIsRefused() {
        queueWithoutCapacity();
        router.world.queuedRequests().clear();
        passTwoChecks();
        assertRefused(ResultCode.INTERNAL, RunState.NOT_RUN);
    }

    @Test
    void aRequestWithoutAReservationUnderWayIsRefused() {
        router.arrive(RouterHarness.CHAT, 100, 50);
        router.world.timers().clear(new RouterTimer.ReserveTimeout(onlyRequest()));
        passTwoChecks();
        assertRefused(ResultCode.INTERNAL, RunState.NOT_RUN);
    }

    @Test
    void aRequestWhoseClaimIsWithALostKeeperIsRefused() {
        router.arrive(RouterHarness.BOOKING, 0, 0);
        router.world.keepers().clear();
        passTwoChecks();
        assertRefused(ResultCode.LOG_UNAVAILABLE, RunState.NOT_RUN);
    }

    @Test
    void aRequestWithoutADeadlineIsRefused() {
        router.startChat(100, 50);
        router.world.timers().clear(new RouterTimer.RequestDeadline(onlyRequest()));
        passTwoChecks();
        assertRefused(ResultCode.INTERNAL, RunState.UNKNOWN);
        assertThat(router.outputs(CancelAttempt.class)).hasSize(1);
    }

    @Test
    void anAnswerWhoseSettlementIsLostIsBrokenOffAndBilledOnce() {
        AttemptId attempt = router.startChat(100, 50);
        RequestKey key = router.world.requests().rows().findFirst().orElseThrow().spec().key();
        router.receiveToken(attempt, 0);
        router.receive(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        router.world.timers().clear(new RouterTimer.UsageHoldTimeout(key));
        passTwoChecks();
        assertRefused(ResultCode.INTERNAL, RunState.RAN);
        assertThat(router.messagesToKeepers(KeeperInput.UsageSubmitted.class)).hasSize(1);
    }

    @Test
    void anAttemptWhoseRequestHasEndedIsCancelled() {
        AttemptId attempt = router.startChat(100, 50);
        router.world.requests().remove(onlyRequest());
        passTwoChecks();
        assertThat(router.outputs(CancelAttempt.class))
                .extracting(CancelAttempt::attempt)
                .containsExactly(attempt);
        assertThat(router.world.attempts().size()).isZero();
    }

    /** Guards against an arrival whose exception leaves its caller without an owner. */
    @Test
    void anArrivalThatCannotBeHandledIsRefusedAtOnce() {
        RouterHarness tolerant =
                new RouterHarness(
                        Placement.byAffinity(),
                        RouterLimits.standalone(),
                        (subject, failure) -> {});
        tolerant.world.setConfiguration(null);
        tolerant.call("ropes.example", "/orders/1", Optional.empty(), 0, 0);
        assertThat(tolerant.outputs(Refuse.class))
                .extracting(Refuse::code, Refuse::runState)
                .containsExactly(tuple(ResultCode.INTERNAL, RunState.NOT_RUN));
        assertThat(tolerant.world.requests().size()).isZero();
    }

    /** Guards against an attempt that was never started and never reported as failed. */
    @Test
    void anAttemptThatCannotBeStartedIsRetriedAtAnotherEndpoint() {
        router.endpoints("engine-1", "engine-2");
        router.startChat(100, 50);
        RouterOutput.StartAttempt first =
                router.lastOutput(RouterOutput.StartAttempt.class).orElseThrow();
        router.receive(new RouterInput.OutputFailed(first, "port out of range"));
        assertThat(router.outputs(RouterOutput.StartAttempt.class))
                .extracting(RouterOutput.StartAttempt::endpoint)
                .doesNotHaveDuplicates()
                .hasSize(2);
    }

    @Test
    void anAnswerWhoseTokensCannotBePassedOnIsBrokenOff() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        router.receive(
                new RouterInput.OutputFailed(
                        router.lastOutput(RouterOutput.DeliverTokens.class).orElseThrow(),
                        "response closed"));
        assertRefused(ResultCode.INTERNAL, RunState.RAN);
        assertThat(router.outputs(CancelAttempt.class)).hasSize(1);
    }

    @Test
    void aClaimThatCannotBeAskedForRefusesItsRequest() {
        router.arrive(RouterHarness.BOOKING, 0, 0);
        router.receive(
                new RouterInput.OutputFailed(
                        router.lastOutput(RouterOutput.ToKeeper.class).orElseThrow(), "closed"));
        assertRefused(ResultCode.LOG_UNAVAILABLE, RunState.NOT_RUN);
    }

    /** Guards against an owner that is between two hands for the moment of one check. */
    @Test
    void aRequestThatFindsAnOwnerBeforeTheNextCheckGoesOn() {
        AttemptId attempt = router.startChat(100, 50);
        AttemptRow row = router.world.attempts().find(attempt).orElseThrow();
        router.world.attempts().remove(attempt);
        router.advance(TWO_CHECKS_MILLIS / 2);
        router.world.attempts().put(attempt, row);
        router.advance(TWO_CHECKS_MILLIS / 2);
        router.world.attempts().remove(attempt);
        router.advance(TWO_CHECKS_MILLIS / 2);
        assertThat(router.outputs(Refuse.class)).isEmpty();
    }

    @Test
    void requestsInEveryStageKeepTheirOwners() {
        AttemptId parked = router.startChat(100, 50);
        router.receiveToken(parked, 0);
        RequestId reader = onlyRequest();
        router.receive(new RouterInput.CallerPaused(reader, true));
        router.advance(RouterLimits.standalone().pauseTimeoutMillis());
        queueWithoutCapacity();
        router.arrive(RouterHarness.CHAT, 100, 50);
        router.arrive(RouterHarness.BOOKING, 0, 0);
        assertThat(router.world.requests().rows().map(RequestRow::stage))
                .containsExactlyInAnyOrder(
                        RequestRow.Stage.PARKED,
                        RequestRow.Stage.RUNNING,
                        RequestRow.Stage.QUEUED,
                        RequestRow.Stage.RESERVING,
                        RequestRow.Stage.CLAIMING);
        passTwoChecks();
        assertThat(router.outputs(Refuse.class)).isEmpty();
    }

    /** Fills the only engine, so that one more request waits in the queue. */
    private void queueWithoutCapacity() {
        for (int count = 0; count < 2; count++) {
            RequestKey key = router.arrive(RouterHarness.CHAT, 9_000, 900);
            router.receive(
                    new RouterInput.ReserveGranted(RouterHarness.KEEPER, key, RouterHarness.GRANT));
        }
    }

    private void passTwoChecks() {
        router.advance(TWO_CHECKS_MILLIS / 2);
        router.advance(TWO_CHECKS_MILLIS / 2);
    }

    private RequestId onlyRequest() {
        return router.world.requests().rows().findFirst().orElseThrow().spec().id();
    }

    private void assertRefused(ResultCode code, RunState runState) {
        assertThat(router.outputs(Refuse.class))
                .extracting(Refuse::code, Refuse::runState)
                .contains(tuple(code, runState));
        assertThat(router.world.requests().rows().map(RequestRow::stage))
                .doesNotContain(RequestRow.Stage.SETTLING);
    }
}

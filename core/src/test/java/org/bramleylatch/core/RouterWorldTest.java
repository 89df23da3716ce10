package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.DeliverTokens;
import org.bramleylatch.core.RouterOutput.FinishAnswer;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.Test;

class RouterWorldTest {
    private final RouterHarness router = new RouterHarness().endpoints("engine-1", "engine-2");

    @Test
    void nothingIsSentToAnEndpointBeforeTheWorstCaseIsReserved() {
        router.arrive(RouterHarness.CHAT, 100, 50);
        assertThat(router.messagesToKeepers(KeeperInput.ReserveAsked.class))
                .extracting(KeeperInput.ReserveAsked::tokens)
                .containsExactly(150L);
        assertThat(router.outputs(StartAttempt.class)).isEmpty();
    }

    @Test
    void theEndOfAnAnswerWaitsUntilAKeeperHoldsItsUsage() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        router.receive(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        assertThat(router.outputs(FinishAnswer.class)).isEmpty();
        KeeperInput.UsageSubmitted submitted =
                router.messagesToKeepers(KeeperInput.UsageSubmitted.class).get(0);
        assertThat(submitted.usage().tokens()).isEqualTo(101);
        router.receive(new RouterInput.UsageHeld(submitted.usage().key()));
        assertThat(router.outputs(FinishAnswer.class)).hasSize(1);
        assertThat(router.world.settlements().size()).isEqualTo(1);
        router.receive(new RouterInput.UsageDurable(submitted.usage().key()));
        assertThat(router.world.settlements().size()).isZero();
    }

    @Test
    void repeatedTokensAreDropped() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        router.receiveToken(attempt, 0);
        router.receiveToken(attempt, 1);
        assertThat(router.outputs(DeliverTokens.class)).hasSize(2);
    }

    @Test
    void tokensOfAnotherAttemptNeverReachTheCaller() {
        router.startChat(100, 50);
        router.receiveToken(AttemptId.of("crossed"), 0);
        assertThat(router.outputs(DeliverTokens.class)).isEmpty();
    }

    @Test
    void aGapIsFilledByResumingAtItsPositionAtTheSameEndpoint() {
        AttemptId attempt = router.startChat(100, 50);
        EndpointId originalEndpoint =
                router.lastOutput(StartAttempt.class).orElseThrow().endpoint();
        router.receiveToken(attempt, 0);
        router.receiveToken(attempt, 2);
        StartAttempt resumed = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(resumed.endpoint()).isEqualTo(originalEndpoint);
        assertThat(resumed.position()).isEqualTo(1);
        router.receiveToken(attempt, 1);
        router.receiveToken(resumed.attempt(), 1);
        assertThat(router.outputs(DeliverTokens.class)).as("late tokens are dropped").hasSize(2);
    }

    @Test
    void anAnswerThatCannotBeResumedIsBrokenOffAndSaysThatItRan() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        failAllAttempts();
        assertThat(refusal().code()).isEqualTo(ResultCode.ANSWER_INCOMPLETE);
        assertThat(refusal().runState()).isEqualTo(RunState.RAN);
    }

    @Test
    void anEndMarkerThatComesEarlyIsNotASuccess() {
        router.startChat(100, 50);
        for (int tries = 0; tries < RouterLimits.standalone().maxAttempts(); tries++) {
            AttemptId latest = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
            router.receiveToken(latest, tries);
            router.receive(new RouterInput.AnswerEnded(latest, 40, "stop"));
        }
        assertThat(router.outputs(FinishAnswer.class)).isEmpty();
        assertThat(refusal().code()).isEqualTo(ResultCode.ANSWER_INCOMPLETE);
    }

    @Test
    void aCallerThatStopsReadingFreesTheEndpointAndGetsTheRestOnceItReadsAgain() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        RequestId request = router.lastOutput(DeliverTokens.class).orElseThrow().request();
        router.receive(new RouterInput.CallerPaused(request, true));
        router.advance(RouterLimits.standalone().pauseTimeoutMillis());
        assertThat(router.outputs(RouterOutput.CancelAttempt.class)).hasSize(1);
        assertThat(router.world.attempts().size()).isZero();
        router.receive(new RouterInput.CallerPaused(request, false));
        assertThat(router.lastOutput(StartAttempt.class).orElseThrow().position()).isEqualTo(1);
    }

    @Test
    void aBrokenAnswerIsBilledForWhatReachedTheCaller() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        router.receiveToken(attempt, 1);
        failAllAttempts();
        assertThat(router.messagesToKeepers(KeeperInput.UsageSubmitted.class))
                .extracting(given -> given.usage().tokens())
                .containsExactly(102L);
    }

    @Test
    void aChatIsRetriedAtAnotherEndpointWhileNothingHasReachedTheCaller() {
        AttemptId attempt = router.startChat(100, 50);
        EndpointId first = router.lastOutput(StartAttempt.class).orElseThrow().endpoint();
        router.receive(new RouterInput.AttemptFailed(attempt, RunState.UNKNOWN, "broken"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
        assertThat(router.lastOutput(StartAttempt.class).orElseThrow().endpoint())
                .isNotEqualTo(first);
    }

    @Test
    void aRefusalAfterAnAttemptThatMayHaveRunNeverSaysNotRun() {
        AttemptId first = router.startChat(100, 50);
        router.receive(new RouterInput.AttemptFailed(first, RunState.UNKNOWN, "broken"));
        AttemptId second = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.AttemptFailed(second, RunState.NOT_RUN, "refused"));
        assertThat(refusal().runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aBookingWithoutAKeyIsRefusedAsNotRun() {
        router.arrive(RouterHarness.BOOKING, 0, 0, key(1), false);
        assertThat(refusal().code()).isEqualTo(ResultCode.IDEMPOTENCY_KEY_MISSING);
        assertThat(refusal().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void aBookingIsSentOnlyAfterItsClaimIsWon() {
        RequestKey key = arriveBooking();
        assertThat(router.outputs(StartAttempt.class)).isEmpty();
        router.receive(new RouterInput.IntentWon(key));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    @Test
    void aBookingThatMayHaveRunIsNeverSentAgain() {
        router.receive(new RouterInput.IntentWon(arriveBooking()));
        AttemptId attempt = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.AttemptFailed(attempt, RunState.UNKNOWN, "broken"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        assertThat(refusal().runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aBookingThatNoEndpointReceivedIsSentToAnotherOne() {
        router.endpoints("ordnerei-1", "ordnerei-2");
        router.receive(new RouterInput.IntentWon(arriveBooking()));
        AttemptId attempt = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
        router.receive(new RouterInput.AttemptFailed(attempt, RunState.NOT_RUN, "not connected"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
    }

    @Test
    void aRetryOfABookingGetsTheFirstAnswer() {
        RequestKey key = arriveBooking();
        IntentRow winner =
                IntentRow.of(key, Incarnation.of("other"), 3).finish(RunState.RAN, 201, "booked");
        router.receive(new RouterInput.IntentLost(winner));
        assertThat(router.outputs(StartAttempt.class)).isEmpty();
        assertThat(router.lastOutput(DeliverServiceAnswer.class).orElseThrow().body())
                .isEqualTo("booked");
    }

    @Test
    void aRetryOfABookingWithoutAKnownOutcomeIsRefusedAsUnknown() {
        RequestKey key = arriveBooking();
        router.receive(new RouterInput.IntentLost(IntentRow.of(key, Incarnation.of("other"), 3)));
        assertThat(refusal().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(refusal().runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aRequestMovesToAnotherKeeperWhenItsKeeperIsLost() {
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        router.receive(new RouterInput.KeeperUp(RouterHarness.OTHER_KEEPER));
        router.receive(new RouterInput.KeeperDown(RouterHarness.KEEPER));
        assertThat(router.messagesToKeepers(KeeperInput.ReserveAsked.class)).hasSize(2);
        router.receive(
                new RouterInput.ReserveGranted(RouterHarness.KEEPER, key, RouterHarness.GRANT));
        assertThat(router.outputs(StartAttempt.class)).as("grant of the lost keeper").isEmpty();
    }

    @Test
    void aRequestMovesToAnotherKeeperWhenItsKeeperIsSilent() {
        router.receive(new RouterInput.KeeperUp(RouterHarness.OTHER_KEEPER));
        router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(RouterLimits.standalone().reserveTimeoutMillis());
        assertThat(router.outputs(RouterOutput.ToKeeper.class))
                .extracting(RouterOutput.ToKeeper::keeper)
                .containsExactlyInAnyOrder(RouterHarness.KEEPER, RouterHarness.OTHER_KEEPER);
    }

    @Test
    void usageIsSentToAnotherKeeperWhenItsKeeperIsLost() {
        AttemptId attempt = router.startChat(100, 50);
        router.receiveToken(attempt, 0);
        router.receive(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        router.receive(new RouterInput.KeeperUp(RouterHarness.OTHER_KEEPER));
        router.receive(new RouterInput.KeeperDown(RouterHarness.KEEPER));
        assertThat(router.messagesToKeepers(KeeperInput.UsageSubmitted.class))
                .extracting(KeeperInput.UsageSubmitted::grant)
                .containsExactly(RouterHarness.GRANT, RouterHarness.GRANT);
    }

    @Test
    void anEndpointIsNeverSentMoreThanItsMemoryHolds() {
        router.endpoints("engine-1");
        router.startChat(4_000, 2_000);
        RequestKey second = router.arrive(RouterHarness.CHAT, 4_000, 2_000);
        router.receive(
                new RouterInput.ReserveGranted(RouterHarness.KEEPER, second, RouterHarness.GRANT));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        assertThat(router.world.requestByKey(second)).isPresent();
    }

    @Test
    void aLeavingEndpointGetsNoNewWork() {
        EndpointId leaving = EndpointId.of("engine-1");
        router.receive(new RouterInput.EndpointReported(leaving, 0, true));
        router.startChat(100, 50);
        router.startChat(100, 50);
        assertThat(router.outputs(StartAttempt.class))
                .extracting(StartAttempt::endpoint)
                .doesNotContain(leaving);
    }

    @Test
    void anOlderConfigurationNeverReplacesANewerOne() {
        router.receive(new RouterInput.ConfigurationReceived(configuration(9)));
        router.receive(new RouterInput.ConfigurationReceived(configuration(8)));
        assertThat(router.world.configuration().revision()).isEqualTo(9);
    }

    @Test
    void aPlannedStopWaitsForRunningAnswersAndTheirUsage() {
        AttemptId attempt = router.startChat(100, 50);
        router.receive(new RouterInput.StopAsked());
        router.arrive(RouterHarness.CHAT, 10, 10);
        assertThat(refusal().code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        router.receiveToken(attempt, 0);
        router.receive(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        RequestKey key =
                router.messagesToKeepers(KeeperInput.UsageSubmitted.class).get(0).usage().key();
        router.receive(new RouterInput.UsageHeld(key));
        assertThat(router.outputs(FinishAnswer.class)).hasSize(1);
        assertThat(router.outputs(RouterOutput.Stopped.class)).isEmpty();
        router.receive(new RouterInput.UsageDurable(key));
        assertThat(router.outputs(RouterOutput.Stopped.class)).hasSize(1);
    }

    @Test
    void anAttemptAtASilentEndpointEndsAtTheTimeout() {
        router.endpoints("engine-1");
        router.startChat(100, 50);
        router.advance(RouterLimits.standalone().firstTokenTimeoutMillis());
        assertThat(refusal().code()).isEqualTo(ResultCode.NO_ENDPOINT);
        assertThat(refusal().runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aVersionGetsItsShareOfTheRequests() {
        List<VersionShare> shares =
                List.of(
                        new VersionShare(Version.of("v1"), 990),
                        new VersionShare(Version.of("v2"), 10));
        RouteRow route =
                new RouteRow(RouteName.of("chat"), RouteKind.CHAT, "m", "b", true, 0, shares);
        long ofNewVersion = 0;
        for (int number = 0; number < 10_000; number++) {
            RequestKey key = RequestKey.of(0, number * 0x9E3779B97F4A7C15L);
            RequestSpec spec =
                    new RequestSpec(
                            RequestId.of("r"), key, true, RouterHarness.BUDGET, route, 1, 1, 0, 0);
            ofNewVersion += spec.version().filter(Version.of("v2")::equals).isPresent() ? 1 : 0;
        }
        assertThat(ofNewVersion).isBetween(50L, 150L);
    }

    @Test
    void aRequestGoesBackToTheOldVersionWhenTheNewOneCannotServe() {
        RouteName route = RouterHarness.CHAT.name();
        MoveSpec spec =
                new MoveSpec(
                        route,
                        Version.of("v1"),
                        Version.of("v2"),
                        Long.MAX_VALUE,
                        List.of(1_000),
                        5);
        router.receive(new RouterInput.MoveChanged(MoveRow.of(spec, 0)));
        router.startChat(100, 50);
        assertThat(router.messagesToKeepers(KeeperInput.MoveReported.class))
                .extracting(message -> message.report().newAttempts())
                .containsExactly(new Tally(0, 1));
    }

    @Test
    void aRouterAtItsMaximumOfOpenRequestsRefusesFurtherOnesAsNotRun() {
        for (int number = 0; number <= RouterLimits.standalone().maxOpenRequests(); number++) {
            router.arrive(RouterHarness.CHAT, 1, 1);
        }
        assertThat(router.outputs(Refuse.class)).hasSize(1);
        assertThat(refusal().code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(refusal().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void aKeyFromTheFarFutureIsRefusedBecauseItWouldBeKeptForever() {
        RequestKey futureKey = RequestKey.of(1_700_000_000_000L + 3_600_000, 1);
        router.arrive(RouterHarness.CHAT, 1, 1, futureKey, true);
        assertThat(refusal().code()).isEqualTo(ResultCode.IDEMPOTENCY_KEY_MALFORMED);
        assertThat(refusal().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void anEndpointThatThePlatformListsAsLeavingGetsNoNewWorkWhateverItReports() {
        EndpointRow leaving =
                RouterHarness.endpoint("engine-1")
                        .withLeavingSignals(LeavingSignals.none().withListedAsLeaving(true));
        router.receive(
                new RouterInput.EndpointsListed(
                        List.of(leaving, RouterHarness.endpoint("engine-2"))));
        router.receive(new RouterInput.EndpointReported(leaving.id(), 0, false));
        router.startChat(100, 50);
        router.startChat(100, 50);
        assertThat(router.outputs(StartAttempt.class))
                .extracting(StartAttempt::endpoint)
                .doesNotContain(leaving.id());
    }

    private void failAllAttempts() {
        for (int tries = 0; tries < RouterLimits.standalone().maxAttempts(); tries++) {
            AttemptId latest = router.lastOutput(StartAttempt.class).orElseThrow().attempt();
            router.receive(new RouterInput.AttemptFailed(latest, RunState.UNKNOWN, "broken"));
        }
    }

    private RequestKey arriveBooking() {
        if (router.world.endpoints().find(EndpointId.of("ordnerei-1")).isEmpty()) {
            router.endpoints("ordnerei-1");
        }
        return router.arrive(RouterHarness.BOOKING, 0, 0);
    }

    private Refuse refusal() {
        return router.lastOutput(Refuse.class).orElseThrow();
    }

    private static Configuration configuration(long revision) {
        return new Configuration(revision, List.of(), List.of());
    }

    private static RequestKey key(long number) {
        return RequestKey.of(1_700_000_000_000L, number);
    }
}

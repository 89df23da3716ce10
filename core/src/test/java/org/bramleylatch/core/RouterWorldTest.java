package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.RouterOutput.DeliverService;
import org.bramleylatch.core.RouterOutput.DeliverTokens;
import org.bramleylatch.core.RouterOutput.FinishAnswer;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.Test;

class RouterWorldTest {
    private final RouterCase router = new RouterCase().endpoints("engine-1", "engine-2");

    @Test
    void nothingIsSentToAnEndpointBeforeTheWorstCaseIsReserved() {
        router.arrive(RouterCase.CHAT, 100, 50);
        assertThat(router.toKeepers(KeeperInput.ReserveAsked.class))
                .extracting(KeeperInput.ReserveAsked::tokens)
                .containsExactly(150L);
        assertThat(router.all(StartAttempt.class)).isEmpty();
    }

    @Test
    void theEndOfAnAnswerWaitsUntilAKeeperHoldsItsUsage() {
        AttemptId attempt = router.running(100, 50);
        router.tokens(attempt, 0);
        router.put(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        assertThat(router.all(FinishAnswer.class)).isEmpty();
        KeeperInput.UsageGiven given = router.toKeepers(KeeperInput.UsageGiven.class).get(0);
        assertThat(given.usage().tokens()).isEqualTo(101);
        router.put(new RouterInput.UsageHeld(given.usage().key()));
        assertThat(router.all(FinishAnswer.class)).hasSize(1);
        assertThat(router.world.settlements().size()).isEqualTo(1);
        router.put(new RouterInput.UsageDurable(given.usage().key()));
        assertThat(router.world.settlements().size()).isZero();
    }

    @Test
    void repeatedTokensAreDropped() {
        AttemptId attempt = router.running(100, 50);
        router.tokens(attempt, 0);
        router.tokens(attempt, 0);
        router.tokens(attempt, 1);
        assertThat(router.all(DeliverTokens.class)).hasSize(2);
    }

    @Test
    void tokensOfAnotherAttemptNeverReachTheCaller() {
        router.running(100, 50);
        router.tokens(AttemptId.of("crossed"), 0);
        assertThat(router.all(DeliverTokens.class)).isEmpty();
    }

    @Test
    void aGapIsFilledByResumingAtItsPositionAtTheSameEndpoint() {
        AttemptId attempt = router.running(100, 50);
        EndpointId origin = router.last(StartAttempt.class).orElseThrow().endpoint();
        router.tokens(attempt, 0);
        router.tokens(attempt, 2);
        StartAttempt resumed = router.last(StartAttempt.class).orElseThrow();
        assertThat(resumed.endpoint()).isEqualTo(origin);
        assertThat(resumed.position()).isEqualTo(1);
        router.tokens(attempt, 1);
        router.tokens(resumed.attempt(), 1);
        assertThat(router.all(DeliverTokens.class)).as("late ones are dropped").hasSize(2);
    }

    @Test
    void anAnswerThatCannotBeResumedIsBrokenOffAndSaysThatItRan() {
        AttemptId attempt = router.running(100, 50);
        router.tokens(attempt, 0);
        failAllAttempts();
        assertThat(refusal().code()).isEqualTo(ResultCode.ANSWER_INCOMPLETE);
        assertThat(refusal().runState()).isEqualTo(RunState.RAN);
    }

    @Test
    void anEndMarkerThatComesEarlyIsNotASuccess() {
        router.running(100, 50);
        for (int tries = 0; tries < RouterLimits.standalone().maxAttempts(); tries++) {
            AttemptId latest = router.last(StartAttempt.class).orElseThrow().attempt();
            router.tokens(latest, tries);
            router.put(new RouterInput.AnswerEnded(latest, 40, "stop"));
        }
        assertThat(router.all(FinishAnswer.class)).isEmpty();
        assertThat(refusal().code()).isEqualTo(ResultCode.ANSWER_INCOMPLETE);
    }

    @Test
    void aCallerThatStopsReadingFreesTheEndpointAndGetsTheRestOnceItReadsAgain() {
        AttemptId attempt = router.running(100, 50);
        router.tokens(attempt, 0);
        RequestId request = router.last(DeliverTokens.class).orElseThrow().request();
        router.put(new RouterInput.CallerPaused(request, true));
        router.advance(RouterLimits.standalone().pauseTimeoutMillis());
        assertThat(router.all(RouterOutput.CancelAttempt.class)).hasSize(1);
        assertThat(router.world.attempts().size()).isZero();
        router.put(new RouterInput.CallerPaused(request, false));
        assertThat(router.last(StartAttempt.class).orElseThrow().position()).isEqualTo(1);
    }

    @Test
    void aBrokenAnswerIsBilledForWhatReachedTheCaller() {
        AttemptId attempt = router.running(100, 50);
        router.tokens(attempt, 0);
        router.tokens(attempt, 1);
        failAllAttempts();
        assertThat(router.toKeepers(KeeperInput.UsageGiven.class))
                .extracting(given -> given.usage().tokens())
                .containsExactly(102L);
    }

    @Test
    void aChatIsRetriedAtAnotherEndpointWhileNothingHasReachedTheCaller() {
        AttemptId attempt = router.running(100, 50);
        EndpointId first = router.last(StartAttempt.class).orElseThrow().endpoint();
        router.put(new RouterInput.AttemptFailed(attempt, RunState.UNKNOWN, "broken"));
        assertThat(router.all(StartAttempt.class)).hasSize(2);
        assertThat(router.last(StartAttempt.class).orElseThrow().endpoint()).isNotEqualTo(first);
    }

    @Test
    void aRefusalAfterAnAttemptThatMayHaveRunNeverSaysNotRun() {
        AttemptId first = router.running(100, 50);
        router.put(new RouterInput.AttemptFailed(first, RunState.UNKNOWN, "broken"));
        AttemptId second = router.last(StartAttempt.class).orElseThrow().attempt();
        router.put(new RouterInput.AttemptFailed(second, RunState.NOT_RUN, "refused"));
        assertThat(refusal().runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aBookingWithoutAKeyIsRefusedAsNotRun() {
        router.arrive(RouterCase.BOOKING, 0, 0, key(1), false);
        assertThat(refusal().code()).isEqualTo(ResultCode.IDEMPOTENCY_KEY_MISSING);
        assertThat(refusal().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void aBookingIsSentOnlyAfterItsClaimIsWon() {
        RequestKey key = arriveBooking();
        assertThat(router.all(StartAttempt.class)).isEmpty();
        router.put(new RouterInput.IntentWon(key));
        assertThat(router.all(StartAttempt.class)).hasSize(1);
    }

    @Test
    void aBookingThatMayHaveRunIsNeverSentAgain() {
        router.put(new RouterInput.IntentWon(arriveBooking()));
        AttemptId attempt = router.last(StartAttempt.class).orElseThrow().attempt();
        router.put(new RouterInput.AttemptFailed(attempt, RunState.UNKNOWN, "broken"));
        assertThat(router.all(StartAttempt.class)).hasSize(1);
        assertThat(refusal().runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aBookingThatNoEndpointReceivedIsSentToAnotherOne() {
        router.endpoints("ordnerei-1", "ordnerei-2");
        router.put(new RouterInput.IntentWon(arriveBooking()));
        AttemptId attempt = router.last(StartAttempt.class).orElseThrow().attempt();
        router.put(new RouterInput.AttemptFailed(attempt, RunState.NOT_RUN, "not connected"));
        assertThat(router.all(StartAttempt.class)).hasSize(2);
    }

    @Test
    void aRetryOfABookingGetsTheFirstAnswer() {
        RequestKey key = arriveBooking();
        IntentRow winner =
                IntentRow.of(key, Incarnation.of("other"), 3).finish(RunState.RAN, 201, "booked");
        router.put(new RouterInput.IntentLost(winner));
        assertThat(router.all(StartAttempt.class)).isEmpty();
        assertThat(router.last(DeliverService.class).orElseThrow().body()).isEqualTo("booked");
    }

    @Test
    void aRetryOfABookingWithoutAKnownOutcomeIsRefusedAsUnknown() {
        RequestKey key = arriveBooking();
        router.put(new RouterInput.IntentLost(IntentRow.of(key, Incarnation.of("other"), 3)));
        assertThat(refusal().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(refusal().runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void aRequestMovesToAnotherKeeperWhenItsKeeperIsLost() {
        RequestKey key = router.arrive(RouterCase.CHAT, 100, 50);
        router.put(new RouterInput.KeeperUp(RouterCase.OTHER_KEEPER));
        router.put(new RouterInput.KeeperDown(RouterCase.KEEPER));
        assertThat(router.toKeepers(KeeperInput.ReserveAsked.class)).hasSize(2);
        router.put(new RouterInput.ReserveGranted(RouterCase.KEEPER, key, RouterCase.GRANT));
        assertThat(router.all(StartAttempt.class)).as("grant of the lost keeper").isEmpty();
    }

    @Test
    void aRequestMovesToAnotherKeeperWhenItsKeeperIsSilent() {
        router.put(new RouterInput.KeeperUp(RouterCase.OTHER_KEEPER));
        router.arrive(RouterCase.CHAT, 100, 50);
        router.advance(RouterLimits.standalone().reserveTimeoutMillis());
        assertThat(router.all(RouterOutput.ToKeeper.class))
                .extracting(RouterOutput.ToKeeper::keeper)
                .containsExactlyInAnyOrder(RouterCase.KEEPER, RouterCase.OTHER_KEEPER);
    }

    @Test
    void usageIsSentToAnotherKeeperWhenItsKeeperIsLost() {
        AttemptId attempt = router.running(100, 50);
        router.tokens(attempt, 0);
        router.put(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        router.put(new RouterInput.KeeperUp(RouterCase.OTHER_KEEPER));
        router.put(new RouterInput.KeeperDown(RouterCase.KEEPER));
        assertThat(router.toKeepers(KeeperInput.UsageGiven.class))
                .extracting(KeeperInput.UsageGiven::grant)
                .containsExactly(RouterCase.GRANT, RouterCase.GRANT);
    }

    @Test
    void anEndpointIsNeverSentMoreThanItsMemoryHolds() {
        router.endpoints("engine-1");
        router.running(4_000, 2_000);
        RequestKey second = router.arrive(RouterCase.CHAT, 4_000, 2_000);
        router.put(new RouterInput.ReserveGranted(RouterCase.KEEPER, second, RouterCase.GRANT));
        assertThat(router.all(StartAttempt.class)).hasSize(1);
        assertThat(router.world.requestOf(second)).isPresent();
    }

    @Test
    void aLeavingEndpointGetsNoNewWork() {
        EndpointId leaving = EndpointId.of("engine-1");
        router.put(new RouterInput.EndpointReported(leaving, 0, true));
        router.running(100, 50);
        router.running(100, 50);
        assertThat(router.all(StartAttempt.class))
                .extracting(StartAttempt::endpoint)
                .doesNotContain(leaving);
    }

    @Test
    void anOlderConfigurationNeverReplacesANewerOne() {
        router.put(new RouterInput.ConfigurationReceived(configuration(9)));
        router.put(new RouterInput.ConfigurationReceived(configuration(8)));
        assertThat(router.world.configuration().revision()).isEqualTo(9);
    }

    @Test
    void aPlannedStopWaitsForRunningAnswersAndTheirUsage() {
        AttemptId attempt = router.running(100, 50);
        router.put(new RouterInput.StopAsked());
        router.arrive(RouterCase.CHAT, 10, 10);
        assertThat(refusal().code()).isEqualTo(ResultCode.SHUTTING_DOWN);
        router.tokens(attempt, 0);
        router.put(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        RequestKey key = router.toKeepers(KeeperInput.UsageGiven.class).get(0).usage().key();
        router.put(new RouterInput.UsageHeld(key));
        assertThat(router.all(FinishAnswer.class)).hasSize(1);
        assertThat(router.all(RouterOutput.Stopped.class)).isEmpty();
        router.put(new RouterInput.UsageDurable(key));
        assertThat(router.all(RouterOutput.Stopped.class)).hasSize(1);
    }

    @Test
    void anAttemptAtASilentEndpointEndsAtTheTimeout() {
        router.endpoints("engine-1");
        router.running(100, 50);
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
                            RequestId.of("r"), key, true, RouterCase.BUDGET, route, 1, 1, 0, 0);
            ofNewVersion += spec.version().filter(Version.of("v2")::equals).isPresent() ? 1 : 0;
        }
        assertThat(ofNewVersion).isBetween(50L, 150L);
    }

    @Test
    void aRequestGoesBackToTheOldVersionWhenTheNewOneCannotServe() {
        RouteName route = RouterCase.CHAT.name();
        MoveSpec spec =
                new MoveSpec(
                        route,
                        Version.of("v1"),
                        Version.of("v2"),
                        Long.MAX_VALUE,
                        List.of(1_000),
                        5);
        router.put(new RouterInput.MoveChanged(MoveRow.of(spec, 0)));
        router.running(100, 50);
        assertThat(router.toKeepers(KeeperInput.MoveSeen.class))
                .extracting(message -> message.seen().fresh())
                .containsExactly(new Tally(0, 1));
    }

    @Test
    void aRouterAtItsMaximumOfOpenRequestsRefusesFurtherOnesAsNotRun() {
        for (int number = 0; number <= RouterLimits.standalone().maxOpenRequests(); number++) {
            router.arrive(RouterCase.CHAT, 1, 1);
        }
        assertThat(router.all(Refuse.class)).hasSize(1);
        assertThat(refusal().code()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(refusal().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void aKeyFromTheFarFutureIsRefusedBecauseItWouldBeKeptForever() {
        RequestKey futureKey = RequestKey.of(1_700_000_000_000L + 3_600_000, 1);
        router.arrive(RouterCase.CHAT, 1, 1, futureKey, true);
        assertThat(refusal().code()).isEqualTo(ResultCode.IDEMPOTENCY_KEY_MALFORMED);
        assertThat(refusal().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void anEndpointThatThePlatformListsAsLeavingGetsNoNewWorkWhateverItReports() {
        EndpointRow leaving = RouterCase.endpoint("engine-1").leaving(LeavingSignals.none().withListedAsLeaving(true));
        router.put(
                new RouterInput.EndpointsListed(List.of(leaving, RouterCase.endpoint("engine-2"))));
        router.put(new RouterInput.EndpointReported(leaving.id(), 0, false));
        router.running(100, 50);
        router.running(100, 50);
        assertThat(router.all(StartAttempt.class))
                .extracting(StartAttempt::endpoint)
                .doesNotContain(leaving.id());
    }

    private void failAllAttempts() {
        for (int tries = 0; tries < RouterLimits.standalone().maxAttempts(); tries++) {
            AttemptId latest = router.last(StartAttempt.class).orElseThrow().attempt();
            router.put(new RouterInput.AttemptFailed(latest, RunState.UNKNOWN, "broken"));
        }
    }

    private RequestKey arriveBooking() {
        if (router.world.endpoints().find(EndpointId.of("ordnerei-1")).isEmpty()) {
            router.endpoints("ordnerei-1");
        }
        return router.arrive(RouterCase.BOOKING, 0, 0);
    }

    private Refuse refusal() {
        return router.last(Refuse.class).orElseThrow();
    }

    private static Configuration configuration(long revision) {
        return new Configuration(revision, List.of(), List.of());
    }

    private static RequestKey key(long number) {
        return RequestKey.of(1_700_000_000_000L, number);
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class HolderOrderTest {
    private static final Zone OTHER_ZONE = Zone.of("huttwil");
    private static final Incarnation LOCAL = Incarnation.of("keeper@weak-1");
    private static final List<Incarnation> OF_ZONE =
            List.of(Incarnation.of("keeper@strong-1"), Incarnation.of("keeper@strong2-1"));
    private static final Incarnation OF_OTHER_ZONE = Incarnation.of("keeper@far-1");
    private static final RouterLimits LIMITS = RouterLimits.colocatedWithKeeper(56, 200, 10_000);

    private final RouterHarness router = new RouterHarness(Placement.byAffinity(), LIMITS);

    HolderOrderTest() {
        router.receive(new RouterInput.KeeperDown(RouterHarness.KEEPER));
        router.receive(new RouterInput.LocalKeeperUp(LOCAL));
        router.receive(
                new RouterInput.VmsAnnounced(
                        List.of(
                                new VmRow("weak", RouterHarness.ZONE, 360),
                                new VmRow("strong", RouterHarness.ZONE, 1_500),
                                new VmRow("strong2", RouterHarness.ZONE, 1_500),
                                new VmRow("far", OTHER_ZONE, 1_500))));
        Stream.concat(OF_ZONE.stream(), Stream.of(OF_OTHER_ZONE))
                .forEach(keeper -> router.receive(new RouterInput.KeeperUp(keeper)));
    }

    @Test
    void theTokensOfABudgetAreAskedOfTheSameHolderByAllRoutersOfTheZone() {
        Incarnation first = firstHolder();
        assertThat(OF_ZONE).contains(first);
        router.receive(new RouterInput.LocalKeeperUp(Incarnation.of("keeper@weak2-1")));
        assertThat(firstHolder()).isEqualTo(first);
    }

    @Test
    void aHolderThatDoesNotAnswerIsPassedOverForAWhileAndThenAskedAgain() {
        Incarnation first = firstHolder();
        router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(LIMITS.reserveTimeoutMillis());
        assertThat(lastAsk().keeper()).isNotEqualTo(first).isIn(OF_ZONE);
        router.advance(2_000);
        assertThat(firstHolder()).isEqualTo(first);
    }

    @Test
    void aHolderThatAnswersLateIsAskedAgainAtOnce() {
        Incarnation first = firstHolder();
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(LIMITS.reserveTimeoutMillis());
        router.receive(granted(first, key));
        assertThat(firstHolder()).isEqualTo(first);
    }

    /** Guards against a VM that is late and takes all holders of its zone for silent (SHORT). */
    @Test
    void aHolderIsNotTakenForSilentByAVmThatWasLateWhileItWaited() {
        Incarnation first = firstHolder();
        router.receive(new RouterInput.LoadMeasured(new VmLoad(0, 0, 250)));
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(LIMITS.reserveTimeoutMillis());
        assertThat(firstHolder()).isEqualTo(first);
        assertThat(router.messagesToKeepers(KeeperInput.ReserveAsked.class)).hasSize(1);
        router.endpoints("seilhelfer-1");
        router.receive(granted(first, key));
        assertThat(router.outputs(RouterOutput.StartAttempt.class)).hasSize(1);
    }

    @Test
    void aVmThatIsLateForLongStillFindsAHolderThatDoesNotAnswer() {
        Incarnation first = firstHolder();
        router.receive(new RouterInput.LoadMeasured(new VmLoad(0, 0, 250)));
        router.arrive(RouterHarness.CHAT, 100, 50);
        long timeoutMillis = LIMITS.reserveTimeoutMillis();
        for (long passedMillis = 0;
                passedMillis <= TimeoutEvidence.MAX_VOID_MILLIS;
                passedMillis += timeoutMillis) {
            router.advance(timeoutMillis);
        }
        router.advance(timeoutMillis);
        assertThat(firstHolder()).isNotEqualTo(first);
        assertThat(lastAsk().keeper()).isNotEqualTo(first);
    }

    /**
     * Guards against requests on a VM that is late by more than the timeout: each holder's answer
     * came after the next one was asked, and was given back until the caller left.
     */
    @Test
    void aReservationThatIsGrantedLateIsUsedAndTheLaterOneIsReleased() {
        router.endpoints("seilhelfer-1");
        Incarnation first = firstHolder();
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(LIMITS.reserveTimeoutMillis());
        Incarnation second = lastAsk().keeper();
        router.receive(granted(first, key));
        assertThat(router.outputs(RouterOutput.StartAttempt.class)).hasSize(1);
        assertThat(router.messagesToKeepers(KeeperInput.ReservationReleased.class)).isEmpty();
        router.receive(granted(second, key));
        assertThat(router.outputs(RouterOutput.StartAttempt.class)).hasSize(1);
        assertThat(
                        router.outputs(RouterOutput.ToKeeper.class).stream()
                                .filter(
                                        to ->
                                                to.message()
                                                        instanceof KeeperInput.ReservationReleased)
                                .map(RouterOutput.ToKeeper::keeper))
                .containsExactly(second);
    }

    /** Guards against a late refusal that ends a request which another holder may still grant. */
    @Test
    void aHolderThatRefusesLateDoesNotEndTheRequest() {
        Incarnation first = firstHolder();
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(LIMITS.reserveTimeoutMillis());
        router.receive(new RouterInput.ReserveRefused(first, key, ResultCode.BUDGET_UNAVAILABLE));
        assertThat(router.outputs(RouterOutput.Refuse.class)).isEmpty();
    }

    @Test
    void aHolderThatDoesNotAnswerStillGetsTheUsageOfItsGrants() {
        Incarnation first = firstHolder();
        router.endpoints("seilhelfer-1");
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        GrantKey grant = GrantKey.of(RouterHarness.BUDGET, first);
        router.receive(new RouterInput.ReserveGranted(first, key, grant));
        AttemptId attempt =
                router.lastOutput(RouterOutput.StartAttempt.class).orElseThrow().attempt();
        router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(LIMITS.reserveTimeoutMillis());
        router.receiveToken(attempt, 0);
        router.receive(new RouterInput.AnswerEnded(attempt, 1, "stop"));
        assertThat(
                        router.outputs(RouterOutput.ToKeeper.class).stream()
                                .filter(
                                        sent ->
                                                sent.message()
                                                        instanceof KeeperInput.UsageSubmitted)
                                .map(RouterOutput.ToKeeper::keeper))
                .containsExactly(first);
    }

    @Test
    void theLocalKeeperIsAskedIfNoHolderOfTheZoneIsConnected() {
        OF_ZONE.forEach(keeper -> router.receive(new RouterInput.KeeperDown(keeper)));
        assertThat(firstHolder()).isEqualTo(LOCAL);
    }

    @Test
    void aHolderThatCannotReadTheLogIsFollowedByTheFirstHoldersOfOtherZones() {
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        for (int asked = 0; asked < 4; asked++) {
            router.receive(
                    new RouterInput.ReserveRefused(
                            lastAsk().keeper(), key, ResultCode.LOG_UNAVAILABLE));
        }
        assertThat(
                        router.outputs(RouterOutput.ToKeeper.class).stream()
                                .map(RouterOutput.ToKeeper::keeper))
                .contains(OF_OTHER_ZONE)
                .doesNotHaveDuplicates();
    }

    /** Guards against a 4xx for a tenant that a holder's older configuration does not know. */
    @Test
    void aBudgetThatOnlyAHolderDoesNotKnowIsNotRefusedForGood() {
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        router.receive(
                new RouterInput.ReserveRefused(lastAsk().keeper(), key, ResultCode.UNKNOWN_BUDGET));
        assertThat(lastAsk().keeper()).isEqualTo(LOCAL);
        assertThat(router.outputs(RouterOutput.Refuse.class)).isEmpty();
        router.receive(new RouterInput.ReserveRefused(LOCAL, key, ResultCode.BUDGET_UNAVAILABLE));
        assertThat(router.lastOutput(RouterOutput.Refuse.class).map(RouterOutput.Refuse::code))
                .contains(ResultCode.BUDGET_UNAVAILABLE);
    }

    private static RouterInput granted(Incarnation keeper, RequestKey key) {
        return new RouterInput.ReserveGranted(
                keeper, key, GrantKey.of(RouterHarness.BUDGET, keeper));
    }

    private Incarnation firstHolder() {
        return router.world.keeperOf(RouterHarness.BUDGET).orElseThrow();
    }

    private RouterOutput.ToKeeper lastAsk() {
        return router.outputs(RouterOutput.ToKeeper.class).stream()
                .filter(sent -> sent.message() instanceof KeeperInput.ReserveAsked)
                .reduce((first, second) -> second)
                .orElseThrow();
    }
}

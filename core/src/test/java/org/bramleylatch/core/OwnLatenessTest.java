package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.EndpointProbed;
import org.bramleylatch.core.RouterInput.LoadMeasured;
import org.bramleylatch.core.RouterInput.PathProbed;
import org.bramleylatch.core.RouterOutput.ProbeEndpoint;
import org.bramleylatch.core.RouterOutput.ProbePath;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that can't keep up and takes its own lateness for the failure of endpoints:
 * it declared links down that peers used, and refused its callers although no endpoint had failed
 * (issue 50, LOST, RECOVER, SHORT).
 */
class OwnLatenessTest {
    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final VmLoad LATE = new VmLoad(0, 0, 250);
    private static final VmLoad FULL_LINK = new VmLoad(820, 0, 0);
    private static final List<String> PEERS = List.of("near", "far-1", "far-2");

    private final RouterHarness router =
            new RouterHarness(
                    Placement.bySharedPrefix(), RouterLimits.colocatedWithKeeper(8, 0, 10_000));

    @BeforeEach
    void startFleet() {
        router.endpoints("ordnerei-1", "ordnerei-2", "ordnerei-3");
        Zone otherZone = Zone.of("huttwil");
        router.receive(
                new RouterInput.VmsAnnounced(
                        List.of(
                                new VmRow("router", RouterHarness.ZONE, 360),
                                new VmRow("near", RouterHarness.ZONE, 750),
                                new VmRow("far-1", otherZone, 750),
                                new VmRow("far-2", otherZone, 750))));
    }

    @Test
    void aConnectionThatTimesOutOnAVmThatIsLateEjectsNoEndpoint() {
        measure(LATE);
        timeOut(request());
        assertThat(router.world.endpoints().rows()).allMatch(this::acceptsWork);
    }

    @Test
    void aConnectionThatTimesOutBehindAFullLinkEjectsNoEndpoint() {
        measure(FULL_LINK);
        timeOut(request());
        assertThat(router.world.endpoints().rows()).allMatch(this::acceptsWork);
    }

    @Test
    void requestsOfAVmThatIsLateAreNotRefusedForLackOfAnEndpoint() {
        measure(LATE);
        for (int requests = 0; requests < 20; requests++) {
            timeOut(request());
        }
        request();
        assertThat(router.outputs(Refuse.class))
                .extracting(Refuse::code)
                .doesNotContain(ResultCode.NO_ENDPOINT);
    }

    @Test
    void aRequestWhoseConnectionTimesOutOnAVmThatIsLateIsTriedAtAnotherEndpoint() {
        measure(LATE);
        StartAttempt first = request();
        timeOut(first);
        StartAttempt second = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(second.request()).isEqualTo(first.request());
        assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
    }

    @Test
    void aLinkIsNotDeclaredDownByAVmThatWasLateWhileItWaited() {
        measure(LATE);
        StartAttempt attempt = request();
        timeOut(attempt);
        answerPeers(attempt.endpoint(), PathProbed.Outcome.CONNECTED);
        assertNoLinkIsDown();
    }

    @Test
    void aVmThatHasCaughtUpSinceItBeganToWaitWasLateAllTheSame() {
        measure(LATE);
        StartAttempt attempt = request();
        router.advance(CONNECT_TIMEOUT_MILLIS / 2);
        measure(VmLoad.none());
        router.advance(CONNECT_TIMEOUT_MILLIS / 2);
        fail(attempt, AttemptFailed.Cause.CONNECT_TIMED_OUT);
        answerPeers(attempt.endpoint(), PathProbed.Outcome.CONNECTED);
        assertThat(router.world.endpoints().rows()).allMatch(this::acceptsWork);
        assertNoLinkIsDown();
    }

    @Test
    void aProbeThatTimesOutOnAVmThatIsLateDeclaresNoLinkDown() {
        measure(LATE);
        EndpointId endpoint = request().endpoint();
        router.advance(1_000);
        assertThat(router.outputs(ProbeEndpoint.class)).hasSize(1);
        router.advance(CONNECT_TIMEOUT_MILLIS);
        router.receive(
                new EndpointProbed(endpoint, EndpointProbed.Outcome.UNREACHABLE, "timed out"));
        answerPeers(endpoint, PathProbed.Outcome.CONNECTED);
        assertNoLinkIsDown();
    }

    @Test
    void aConnectionThatIsRefusedCountsOnAVmThatIsLate() {
        measure(LATE);
        StartAttempt attempt = request();
        fail(attempt, AttemptFailed.Cause.NOT_CONNECTED);
        assertThat(acceptsWork(attempt.endpoint())).isFalse();
        answerPeers(attempt.endpoint(), PathProbed.Outcome.CONNECTED);
        assertThat(router.world.paths().links().rows()).allMatch(LinkRow::isDown);
    }

    @Test
    void aConnectionThatTimesOutCountsOnceTheVmKeepsUpAgain() {
        measure(LATE);
        router.advance(1_000);
        measure(VmLoad.none());
        router.advance(100);
        StartAttempt attempt = request();
        timeOut(attempt);
        assertThat(acceptsWork(attempt.endpoint())).isFalse();
        answerPeers(attempt.endpoint(), PathProbed.Outcome.CONNECTED);
        assertThat(router.world.paths().links().rows()).allMatch(LinkRow::isDown);
    }

    @Test
    void anEndpointThatPeersDoNotReachEitherIsEjectedByAVmThatIsLate() {
        measure(LATE);
        StartAttempt attempt = request();
        timeOut(attempt);
        assertThat(router.outputs(ProbePath.class)).isNotEmpty();
        answerPeers(attempt.endpoint(), PathProbed.Outcome.ENDPOINT_FAILED);
        assertThat(acceptsWork(attempt.endpoint())).isFalse();
        assertNoLinkIsDown();
    }

    @Test
    void aVmThatIsLateForLongStillFindsALinkThatIsDown() {
        measure(LATE);
        StartAttempt attempt = request();
        for (long passedMillis = 0;
                passedMillis <= TimeoutEvidence.MAX_VOID_MILLIS;
                passedMillis += 1_000) {
            router.advance(1_000);
            router.receive(
                    new EndpointProbed(
                            attempt.endpoint(), EndpointProbed.Outcome.UNREACHABLE, "timed out"));
        }
        answerPeers(attempt.endpoint(), PathProbed.Outcome.CONNECTED);
        assertThat(router.world.paths().links().rows())
                .filteredOn(LinkRow::isDown)
                .extracting(LinkRow::endpoint)
                .containsExactly(attempt.endpoint());
    }

    @Test
    void anEndpointThatAnswersBetweenTimeOutsKeepsItsLinkOnAVmThatIsLateForLong() {
        router.endpoints("ordnerei-1");
        measure(LATE);
        EndpointId endpoint = EndpointId.of("ordnerei-1");
        for (long passedMillis = 0;
                passedMillis <= 2 * TimeoutEvidence.MAX_VOID_MILLIS;
                passedMillis += 1_000) {
            StartAttempt attempt = request();
            router.advance(1_000);
            router.receive(
                    new EndpointProbed(endpoint, EndpointProbed.Outcome.UNREACHABLE, "timed out"));
            router.receive(new RouterInput.ServiceAnswered(attempt.attempt(), 200, "done"));
        }
        answerPeers(endpoint, PathProbed.Outcome.CONNECTED);
        assertNoLinkIsDown();
    }

    private void measure(VmLoad load) {
        router.receive(new LoadMeasured(load));
    }

    private void timeOut(StartAttempt attempt) {
        router.advance(CONNECT_TIMEOUT_MILLIS);
        fail(attempt, AttemptFailed.Cause.CONNECT_TIMED_OUT);
    }

    private void fail(StartAttempt attempt, AttemptFailed.Cause cause) {
        router.receive(
                new AttemptFailed(attempt.attempt(), RunState.NOT_RUN, "not connected", cause));
    }

    private void answerPeers(EndpointId endpoint, PathProbed.Outcome outcome) {
        PEERS.forEach(peer -> router.receive(new PathProbed(endpoint, peer, outcome, "test")));
    }

    private boolean acceptsWork(EndpointRow endpoint) {
        return endpoint.health().acceptsWork(router.nowMillis(), 0);
    }

    private boolean acceptsWork(EndpointId endpoint) {
        return acceptsWork(router.world.endpoints().find(endpoint).orElseThrow());
    }

    private void assertNoLinkIsDown() {
        assertThat(router.world.paths().links().rows()).noneMatch(LinkRow::isDown);
    }

    private StartAttempt request() {
        router.arriveWithin(service(), 60_000);
        return router.lastOutput(StartAttempt.class).orElseThrow();
    }

    private static RouteRow service() {
        return new RouteRow(
                RouteName.of("orders"),
                RouteKind.SERVICE,
                "/orders/",
                "ordnerei",
                true,
                0,
                List.of(),
                Optional.of(
                        new RouteOptions(
                                Optional.empty(),
                                true,
                                false,
                                true,
                                true,
                                true,
                                2,
                                0,
                                0,
                                400,
                                List.of())));
    }
}

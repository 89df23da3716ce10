package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.EndpointProbed;
import org.bramleylatch.core.RouterInput.PathProbed;
import org.bramleylatch.core.RouterOutput.ProbeEndpoint;
import org.bramleylatch.core.RouterOutput.ProbePath;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that is cut off from all endpoints and takes them for gone: it refused its
 * callers for as long as the cut lasted, while all other VMs reached the endpoints (issue 47,
 * RECOVER).
 */
class EndpointPathsTest {
    private static final Zone OTHER_ZONE = Zone.of("huttwil");
    private static final int ENDPOINTS = 5;

    private final RouterHarness router =
            new RouterHarness(
                    Placement.bySharedPrefix(), RouterLimits.colocatedWithKeeper(8, 0, 10_000));

    @BeforeEach
    void startFleet() {
        router.endpoints("ordnerei-1", "ordnerei-2", "ordnerei-3", "ordnerei-4", "ordnerei-5");
        router.receive(
                new RouterInput.VmsAnnounced(
                        List.of(
                                new VmRow("router", RouterHarness.ZONE, 750),
                                new VmRow("near", RouterHarness.ZONE, 750),
                                new VmRow("far-1", OTHER_ZONE, 750),
                                new VmRow("far-2", OTHER_ZONE, 750))));
    }

    @Test
    void peersAreAskedForAnEndpointThatCanNotBeConnectedTo() {
        StartAttempt attempt = request();
        fail(attempt, AttemptFailed.Cause.NOT_CONNECTED);
        assertThat(router.outputs(ProbePath.class))
                .hasSize(3)
                .allMatch(probe -> probe.endpoint().equals(attempt.endpoint()))
                .extracting(ProbePath::peer)
                .doesNotContain("router");
    }

    @Test
    void anEndpointThatNoPeerReachesEitherIsNotUsedThroughAPeer() {
        StartAttempt attempt = request();
        fail(attempt, AttemptFailed.Cause.NOT_CONNECTED);
        answerProbes(PathProbed.Outcome.ENDPOINT_FAILED);
        router.advance(EndpointPaths.CHECK_INTERVAL_MILLIS);
        assertThat(request().via()).isEmpty();
        assertThat(router.world.paths().links().rows()).noneMatch(LinkRow::isDown);
    }

    @Test
    void anEndpointThatOnlyPeersReachIsUsedThroughOneOfTheOwnZone() {
        cutOff(1);
        List<StartAttempt> attempts = List.of(request(), request(), request(), request());
        EndpointId down = router.world.paths().links().keys().findFirst().orElseThrow();
        assertThat(attempts)
                .filteredOn(attempt -> attempt.endpoint().equals(down))
                .allMatch(attempt -> attempt.via().equals(Optional.of("near")));
        assertThat(attempts)
                .filteredOn(attempt -> !attempt.endpoint().equals(down))
                .allMatch(attempt -> attempt.via().isEmpty());
    }

    @Test
    void aVmThatIsCutOffFromSeveralEndpointsReachesAllThroughPeers() {
        cutOff(2);
        assertThat(router.world.isCutOff(router.nowMillis())).isTrue();
        for (int requests = 0; requests < ENDPOINTS; requests++) {
            assertThat(request().via()).contains("near");
        }
    }

    /** Guards against one VM that carries the traffic of a zone that is cut off. */
    @Test
    void peersOfOtherZonesAreUsedWhereFewOfTheOwnZoneAreUsable() {
        router.receive(
                new RouterInput.VmsAnnounced(
                        List.of(
                                new VmRow("cut-1", RouterHarness.ZONE, 750),
                                new VmRow("cut-2", RouterHarness.ZONE, 750))));
        cutOff(2);
        assertThat(IntStream.range(0, 20).mapToObj(index -> request().via().orElseThrow()))
                .contains("near", "far-1", "far-2");
    }

    @Test
    void endpointsThatPeersReachAreNotEjectedAnyMore() {
        cutOff(2);
        assertThat(router.world.endpoints().rows())
                .allMatch(row -> row.acceptsWork(router.nowMillis()));
    }

    @Test
    void allAttemptsAreDirectAgainOnceOneDirectConnectionSucceeded() {
        cutOff(2);
        EndpointId down = router.world.paths().links().keys().findFirst().orElseThrow();
        router.advance(EndpointPaths.CHECK_INTERVAL_MILLIS);
        probeDirectly(down, EndpointProbed.Outcome.CONNECTED);
        assertThat(router.world.isCutOff(router.nowMillis())).isFalse();
        router.outputs(ProbeEndpoint.class).stream()
                .map(ProbeEndpoint::endpoint)
                .distinct()
                .forEach(endpoint -> probeDirectly(endpoint, EndpointProbed.Outcome.CONNECTED));
        for (int requests = 0; requests < ENDPOINTS; requests++) {
            assertThat(request().via()).isEmpty();
        }
    }

    /** Guards against a VM that lost one zone's endpoints and reaches the others through peers. */
    @Test
    void aVmThatReachesSomeEndpointsIsNotCutOffWhenTheOthersFailAgain() {
        cutOff(2);
        List<EndpointId> known = router.world.endpoints().keys().sorted().toList();
        router.advance(EndpointPaths.CHECK_INTERVAL_MILLIS);
        probeDirectly(known.get(4), EndpointProbed.Outcome.CONNECTED);
        router.advance(EndpointPaths.CHECK_INTERVAL_MILLIS);
        known.subList(0, 2)
                .forEach(endpoint -> probeDirectly(endpoint, EndpointProbed.Outcome.REFUSED));
        assertThat(router.world.isCutOff(router.nowMillis())).isFalse();
        assertThat(router.world.paths().links().rows()).filteredOn(LinkRow::isDown).hasSize(2);
    }

    @Test
    void aPeerThatFailsIsNotUsedAndTheRequestGoesOn() {
        cutOff(2);
        StartAttempt first = request();
        fail(first, AttemptFailed.Cause.PATH_FAILED);
        StartAttempt second = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(second.request()).isEqualTo(first.request());
        assertThat(second.via()).isPresent().isNotEqualTo(first.via());
        assertThat(router.world.endpoints().find(first.endpoint()).orElseThrow().health())
                .isEqualTo(EndpointHealth.healthy());
    }

    /** Guards against a sound endpoint that is given up as the peer on the way to it is gone. */
    @Test
    void theOnlyEndpointOfAServiceIsTriedThroughAnotherPeer() {
        router.endpoints("ordnerei-1", "seilhelfer-1");
        cutOff(2);
        StartAttempt first = request();
        fail(first, AttemptFailed.Cause.PATH_FAILED);
        StartAttempt second = router.lastOutput(StartAttempt.class).orElseThrow();
        assertThat(second.attempt()).isNotEqualTo(first.attempt());
        assertThat(second.endpoint()).isEqualTo(first.endpoint());
        assertThat(second.via()).isPresent().isNotEqualTo(first.via());
    }

    /** Guards against taking the silence of a sound endpoint for its death during a cut. */
    @Test
    void aDirectProbeSaysNothingOfAnAttemptThroughAPeer() {
        cutOff(2);
        StartAttempt attempt = request();
        router.advance(1_000);
        probeDirectly(attempt.endpoint(), EndpointProbed.Outcome.UNREACHABLE);
        probeDirectly(attempt.endpoint(), EndpointProbed.Outcome.REFUSED);
        assertThat(router.world.attempts().has(attempt.attempt())).isTrue();
    }

    @Test
    void aSuspicionThatNoPeerConfirmsIsForgotten() {
        fail(request(), AttemptFailed.Cause.NOT_CONNECTED);
        for (int checks = 0; checks < 10; checks++) {
            router.advance(EndpointPaths.CHECK_INTERVAL_MILLIS);
        }
        assertThat(router.world.paths().links().size()).isZero();
        assertThat(router.world.timers().has(new RouterTimer.PathCheck())).isFalse();
    }

    /** Lets direct connections to so many endpoints fail that all peers reach. */
    private void cutOff(int endpoints) {
        List<EndpointId> known = router.world.endpoints().keys().sorted().toList();
        for (EndpointId endpoint : known.subList(0, endpoints)) {
            probeDirectly(endpoint, EndpointProbed.Outcome.REFUSED);
            List.of("near", "far-1", "far-2")
                    .forEach(peer -> answer(endpoint, peer, PathProbed.Outcome.CONNECTED));
        }
    }

    private void answerProbes(PathProbed.Outcome outcome) {
        router.outputs(ProbePath.class)
                .forEach(probe -> answer(probe.endpoint(), probe.peer(), outcome));
    }

    private void answer(EndpointId endpoint, String peer, PathProbed.Outcome outcome) {
        router.receive(new PathProbed(endpoint, peer, outcome, "test"));
    }

    private void probeDirectly(EndpointId endpoint, EndpointProbed.Outcome outcome) {
        router.receive(new EndpointProbed(endpoint, outcome, "test"));
    }

    private StartAttempt request() {
        router.arriveWithin(service(), 10_000);
        return router.lastOutput(StartAttempt.class).orElseThrow();
    }

    private void fail(StartAttempt attempt, AttemptFailed.Cause cause) {
        router.receive(
                new AttemptFailed(attempt.attempt(), RunState.NOT_RUN, "not connected", cause));
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

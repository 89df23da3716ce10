package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RegistryUpdatesTest {
    private static final RouterLimits LIMITS = RouterLimits.colocatedWithKeeper(8, 0, 10_000);
    private static final long GRACE_MILLIS = LIMITS.registryGraceMillis();
    private static final EndpointId ENGINE = EndpointId.of("engine-1");

    private final RouterHarness router = new RouterHarness(Placement.bySharedPrefix(), LIMITS);

    @Test
    void anEndpointThatTheRegistryNoLongerListsIsRemovedAtOnce() {
        announceEndpoint();
        router.receive(new RouterInput.EndpointWithdrawn(ENGINE));
        assertThat(router.world.endpoints().has(ENGINE)).isFalse();
    }

    @Test
    void anEndpointThatIsMissingRightAfterARegistryOutageHasTimeToRegisterAgain() {
        announceEndpoint();
        simulateRegistryOutage();
        router.receive(new RouterInput.EndpointWithdrawn(ENGINE));
        assertThat(router.world.endpoints().has(ENGINE)).isTrue();
        router.receive(new RouterInput.EndpointAnnounced(RouterHarness.endpoint("engine-1")));
        router.advance(2 * GRACE_MILLIS);
        assertThat(router.world.endpoints().has(ENGINE)).isTrue();
    }

    @Test
    void anEndpointThatIsStillMissingAfterTheGracePeriodIsRemoved() {
        announceEndpoint();
        simulateRegistryOutage();
        router.receive(new RouterInput.EndpointWithdrawn(ENGINE));
        router.advance(GRACE_MILLIS);
        assertThat(router.world.endpoints().has(ENGINE)).isFalse();
    }

    /** Guards against requests that a VM which has just started sends to endpoints that left. */
    @Test
    void theFirstContactOfAProcessWithTheRegistryIsNoOutage() {
        router.receive(new RouterInput.RegistryReachabilityReported(true));
        router.receive(new RouterInput.EndpointAnnounced(RouterHarness.endpoint("engine-1")));
        router.receive(new RouterInput.EndpointWithdrawn(ENGINE));
        assertThat(router.world.endpoints().has(ENGINE)).isFalse();
    }

    @Test
    void anEndpointThatIsReplacedAtItsAddressIsRemoved() {
        announceEndpoint();
        router.receive(new RouterInput.EndpointReplaced(ENGINE));
        assertThat(router.world.endpoints().has(ENGINE)).isFalse();
    }

    /**
     * Guards against rows of endpoints that left while they ran requests, which stayed for good.
     */
    @Test
    void anEndpointThatIsWithdrawnWhileItRunsARequestIsRemovedAfterTheRequest() {
        announceEndpoint();
        AttemptId running = router.startChat(100, 50);
        router.receive(new RouterInput.EndpointWithdrawn(ENGINE));
        assertThat(router.world.endpoints().has(ENGINE)).isTrue();
        router.receiveToken(running, 0);
        router.receive(new RouterInput.AnswerEnded(running, 1, "stop"));
        assertThat(router.world.endpoints().has(ENGINE)).isFalse();
    }

    /** Guards against an endpoint that is lost as it registers again before its last answer. */
    @Test
    void anEndpointThatIsListedAgainBeforeItsLastRequestEndsStays() {
        announceEndpoint();
        AttemptId running = router.startChat(100, 50);
        router.receive(new RouterInput.EndpointWithdrawn(ENGINE));
        router.receive(new RouterInput.EndpointAnnounced(RouterHarness.endpoint("engine-1")));
        router.receiveToken(running, 0);
        router.receive(new RouterInput.AnswerEnded(running, 1, "stop"));
        router.startChat(100, 50);
        assertThat(router.outputs(RouterOutput.StartAttempt.class)).hasSize(2);
    }

    private void announceEndpoint() {
        router.receive(new RouterInput.RegistryReachabilityReported(true));
        router.receive(new RouterInput.EndpointAnnounced(RouterHarness.endpoint("engine-1")));
        router.advance(2 * GRACE_MILLIS);
    }

    private void simulateRegistryOutage() {
        router.receive(new RouterInput.RegistryReachabilityReported(false));
        router.receive(new RouterInput.RegistryReachabilityReported(true));
    }
}

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

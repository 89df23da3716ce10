package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that has not read the configuration lately and refuses a route or a key that
 * was added meanwhile for good: 5 s after the change in issues 44 and 47.
 */
class StaleConfigurationTest {
    private static final String HOST = "ropes.example";
    private static final Optional<String> KNOWN_KEY = Optional.of("digest");
    private static final long LONGEST_CALM_READ_MILLIS = 1_500;
    private static final long STALE_MILLIS = 2_000;

    private final RouterHarness router =
            new RouterHarness(
                    Placement.bySharedPrefix(), RouterLimits.colocatedWithKeeper(8, 0, 10_000));

    @BeforeEach
    void configure() {
        RouteOptions options =
                new RouteOptions(
                        Optional.of(HOST), false, false, true, true, true, 2, 0, 0, 400, List.of());
        RouteRow route =
                new RouteRow(
                        RouteName.of("orders"),
                        RouteKind.SERVICE,
                        "/orders/",
                        "ordnerei",
                        true,
                        0,
                        List.of(),
                        Optional.of(options));
        router.receive(
                new RouterInput.ConfigurationReceived(
                        new Configuration(
                                7,
                                List.of(new MemberRow("digest", RouterHarness.BUDGET, "workspace")),
                                List.of(route))));
        confirm();
        router.endpoints("ordnerei-1");
    }

    @Test
    void anUnknownRouteIsRefusedForGoodWhileTheConfigurationIsFresh() {
        router.advance(LONGEST_CALM_READ_MILLIS);
        router.call(HOST, "/added/1", KNOWN_KEY, 0, 0);
        assertThat(lastRefusal().code()).isEqualTo(ResultCode.UNKNOWN_ROUTE);
    }

    @Test
    void anUnknownRouteIsRefusedAsNotRunOnceTheConfigurationMayBeOld() {
        router.advance(STALE_MILLIS);
        router.call(HOST, "/added/1", KNOWN_KEY, 0, 0);
        assertThat(lastRefusal().code()).isEqualTo(ResultCode.CONFIGURATION_STALE);
        assertThat(lastRefusal().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void anUnknownKeyIsRefusedAsNotRunOnceTheConfigurationMayBeOld() {
        router.advance(STALE_MILLIS);
        router.call(HOST, "/orders/1", Optional.of("added"), 0, 0);
        assertThat(lastRefusal().code()).isEqualTo(ResultCode.CONFIGURATION_STALE);
    }

    @Test
    void aBudgetThatIsUsedUpIsRefusedAsNotRunOnceTheConfigurationMayBeOld() {
        router.advance(STALE_MILLIS);
        refuseReservation(ResultCode.BUDGET_EXHAUSTED);
        assertThat(lastRefusal().code()).isEqualTo(ResultCode.CONFIGURATION_STALE);
    }

    @Test
    void aBudgetThatIsUsedUpIsRefusedForGoodWhileTheConfigurationIsFresh() {
        refuseReservation(ResultCode.BUDGET_EXHAUSTED);
        assertThat(lastRefusal().code()).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    }

    @Test
    void aKnownRouteIsServedWhileTheConfigurationMayBeOld() {
        router.advance(STALE_MILLIS);
        router.call(HOST, "/orders/1", KNOWN_KEY, 0, 0);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    @Test
    void anUnknownRouteIsRefusedForGoodAgainOnceTheConfigurationIsConfirmed() {
        router.advance(STALE_MILLIS);
        confirm();
        router.call(HOST, "/added/1", KNOWN_KEY, 0, 0);
        assertThat(lastRefusal().code()).isEqualTo(ResultCode.UNKNOWN_ROUTE);
    }

    private void confirm() {
        router.receive(new RouterInput.ConfigurationConfirmed(router.nowMillis()));
    }

    private void refuseReservation(ResultCode code) {
        router.receive(new RouterInput.LocalKeeperUp(RouterHarness.KEEPER));
        router.arrive(RouterHarness.CHAT, 100, 50);
        KeeperInput.ReserveAsked asked =
                router.messagesToKeepers(KeeperInput.ReserveAsked.class).get(0);
        router.receive(new RouterInput.ReserveRefused(RouterHarness.KEEPER, asked.key(), code));
    }

    private Refuse lastRefusal() {
        return router.lastOutput(Refuse.class).orElseThrow();
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.Test;

/** Guards against requests that a change of the configuration leaves without an answer. */
class ConfigurationChangeTest {
    private static final RouteName NAME = RouteName.of("chat");

    private final RouterHarness router = new RouterHarness().endpoints("engine-1");

    @Test
    void aRequestThatWaitsForTokensRunsAlthoughItsRouteHasLeft() {
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        removeRoutesAndMembers();
        grant(key);
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
    }

    @Test
    void aRequestThatWaitsInTheQueueRunsAlthoughItsRouteHasLeft() {
        AttemptId running = startLarge();
        grant(router.arrive(RouterHarness.CHAT, 8_000, 1_000));
        assertThat(router.outputs(StartAttempt.class)).hasSize(1);
        removeRoutesAndMembers();
        router.receiveToken(running, 0);
        router.receive(new RouterInput.AnswerEnded(running, 1, "stop"));
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
    }

    @Test
    void aRequestKeepsTheDeadlineOfItsArrivalWhenTheRouteGetsAnother() {
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        RouteRow shorter = RouteRow.chat(NAME, "seilhelfer-1", "seilhelfer");
        router.receive(
                new RouterInput.ConfigurationReceived(
                        new Configuration(8, List.of(), List.of(shorter))));
        grant(key);
        router.advance(59_000);
        router.advance(1_000);
        assertThat(router.outputs(Refuse.class)).hasSize(1);
        assertThat(router.world.requests().size()).isZero();
    }

    @Test
    void aRequestThatWaitsInTheQueueIsRefusedOnceItsBackEndHasLeft() {
        startLarge();
        grant(router.arrive(RouterHarness.CHAT, 8_000, 1_000));
        router.receive(new RouterInput.EndpointWithdrawn(EndpointId.of("engine-1")));
        assertThat(router.outputs(Refuse.class))
                .extracting(Refuse::code)
                .containsExactly(ResultCode.NO_ENDPOINT);
    }

    /** Guards against a wait until the deadline for what no endpoint has. */
    @Test
    void aRequestThatNoEndpointHasTheMemoryForIsRefusedAtOnce() {
        startLarge();
        RequestKey key = router.arrive(RouterHarness.CHAT, 8_000, 1_000);
        router.receive(new RouterInput.EndpointAnnounced(engineWithMemory(5_000)));
        grant(key);
        assertThat(router.outputs(Refuse.class))
                .extracting(Refuse::code)
                .containsExactly(ResultCode.NO_ENDPOINT);
    }

    @Test
    void aQueuedRequestIsSentOnceTheBackEndNoLongerLimitsMemory() {
        startLarge();
        grant(router.arrive(RouterHarness.CHAT, 8_000, 1_000));
        router.receive(new RouterInput.EndpointAnnounced(engineWithMemory(0)));
        assertThat(router.outputs(StartAttempt.class)).hasSize(2);
    }

    private AttemptId startLarge() {
        return router.startChat(8_000, 1_000);
    }

    private void grant(RequestKey key) {
        router.receive(
                new RouterInput.ReserveGranted(RouterHarness.KEEPER, key, RouterHarness.GRANT));
    }

    private void removeRoutesAndMembers() {
        router.receive(
                new RouterInput.ConfigurationReceived(new Configuration(8, List.of(), List.of())));
    }

    private static EndpointRow engineWithMemory(long tokens) {
        return EndpointRow.of(
                EndpointId.of("engine-1"),
                "seilhelfer",
                RouterHarness.ZONE,
                Version.of("v1"),
                tokens);
    }
}

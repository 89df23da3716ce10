package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RouterOutput.StartAttempt;
import org.junit.jupiter.api.Test;

class EndpointSignalsTest {
    private static final EndpointId FIRST = EndpointId.of("seilhelfer-1");
    private static final EndpointId SECOND = EndpointId.of("seilhelfer-2");
    private static final long PAUSE_MILLIS = 5_000;

    private final RouterHarness router =
            new RouterHarness().endpoints(FIRST.value(), SECOND.value());

    @Test
    void anEndpointThatSaysItIsLeavingGetsNoNewRequest() {
        router.receive(new RouterInput.EndpointLeaving(FIRST));
        startRequests(6);
        assertThat(startedAt()).containsOnly(SECOND);
    }

    @Test
    void aListingAsReadyDoesNotTakeBackWhatTheEndpointSaid() {
        router.receive(new RouterInput.EndpointLeaving(FIRST));
        router.receive(new RouterInput.EndpointAnnounced(RouterHarness.endpoint(FIRST.value())));
        startRequests(6);
        assertThat(startedAt()).containsOnly(SECOND);
    }

    @Test
    void anEndpointThatAskedForAPauseGetsNoRequestBeforeItsEnd() {
        router.receive(new RouterInput.EndpointPaused(FIRST, PAUSE_MILLIS));
        router.advance(PAUSE_MILLIS - 1);
        startRequests(6);
        assertThat(startedAt()).containsOnly(SECOND);
        router.advance(1);
        router.receive(new RouterInput.EndpointWithdrawn(SECOND));
        startRequests(1);
        assertThat(startedAt()).contains(FIRST);
    }

    @Test
    void aShorterPauseDoesNotEndALongerOne() {
        router.receive(new RouterInput.EndpointPaused(FIRST, PAUSE_MILLIS));
        router.receive(new RouterInput.EndpointPaused(FIRST, 100));
        router.advance(1_000);
        startRequests(6);
        assertThat(startedAt()).containsOnly(SECOND);
    }

    /** Answers the pattern "a whole back end asks for a pause": nobody waits in vain. */
    @Test
    void callersAreToldAtOnceWhenTheFirstEndpointTakesRequestsAgain() {
        router.receive(new RouterInput.EndpointPaused(FIRST, PAUSE_MILLIS));
        router.receive(new RouterInput.EndpointPaused(SECOND, 2 * PAUSE_MILLIS));
        router.advance(1_000);
        startRequests(1);
        Refuse refusal = router.lastOutput(Refuse.class).orElseThrow();
        assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(refusal.retryAfterMillis()).isEqualTo(Optional.of(PAUSE_MILLIS - 1_000));
        assertThat(startedAt()).isEmpty();
    }

    @Test
    void anEndpointCannotPauseItselfForMoreThanAnHour() {
        router.receive(new RouterInput.EndpointPaused(FIRST, Long.MAX_VALUE / 4));
        router.receive(new RouterInput.EndpointWithdrawn(SECOND));
        router.advance(60 * 60 * 1_000L);
        startRequests(1);
        assertThat(startedAt()).containsExactly(FIRST);
    }

    /**
     * Guards against endpoints that fall over as all VMs together have too many requests refused.
     */
    @Test
    void aBrittleEndpointThatRefusedGetsNothingWhileTheOtherRoutersUseItsRefusals() {
        router.receive(new RouterInput.RoutersCounted(8));
        router.receive(new RouterInput.BrittleRefusal(FIRST, 2));
        router.advance(3_999);
        startRequests(6);
        assertThat(startedAt()).containsOnly(SECOND);
        router.advance(1);
        router.receive(new RouterInput.EndpointWithdrawn(SECOND));
        startRequests(1);
        assertThat(startedAt()).contains(FIRST);
    }

    @Test
    void aBrittleEndpointThatBearsNoRefusalIsPausedForABoundedTime() {
        router.receive(new RouterInput.BrittleRefusal(FIRST, 0));
        router.receive(new RouterInput.EndpointWithdrawn(SECOND));
        router.advance(60 * 60 * 1_000L);
        startRequests(1);
        assertThat(startedAt()).containsExactly(FIRST);
    }

    private void startRequests(int count) {
        for (int index = 0; index < count; index++) {
            RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
            router.receive(
                    new RouterInput.ReserveGranted(RouterHarness.KEEPER, key, RouterHarness.GRANT));
        }
    }

    private List<EndpointId> startedAt() {
        return router.outputs(StartAttempt.class).stream().map(StartAttempt::endpoint).toList();
    }
}

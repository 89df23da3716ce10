package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against requests that are lost because the handling of something else failed. */
class FailedMessageTest {
    private static final RouterInput BROKEN = new RouterInput.MoveChanged(null);

    private final List<Object> failed = new ArrayList<>();

    /** Guards against a message whose exception drops the messages behind it. */
    @Test
    void aMessageThatThrowsCostsNoMessageBesideIt() {
        RouterHarness router = router(Placement.byAffinity());
        router.world.inbox().add(BROKEN);
        RequestKey key = router.arrive(RouterHarness.CHAT, 100, 50);
        router.world.inbox().add(BROKEN);
        router.receive(
                new RouterInput.ReserveGranted(RouterHarness.KEEPER, key, RouterHarness.GRANT));
        assertThat(router.outputs(RouterOutput.StartAttempt.class)).hasSize(1);
        assertThat(failed).containsExactly(BROKEN, BROKEN);
    }

    /** Guards against timers that are lost behind one that throws. */
    @Test
    void aTimerThatThrowsCostsNoTimerBesideIt() {
        RouterHarness router = router(Placement.byAffinity());
        RequestId broken = RequestId.of("broken");
        router.world.requests().put(broken, RequestRow.of(null));
        router.world.timers().set(new RouterTimer.RequestDeadline(broken), 0);
        router.arrive(RouterHarness.CHAT, 100, 50);
        router.advance(60_000);
        assertThat(router.outputs(RouterOutput.Refuse.class)).hasSize(1);
        assertThat(failed).contains(new RouterTimer.RequestDeadline(broken));
    }

    /** Guards against a keeper whose ledger misses the messages behind one that throws. */
    @Test
    void aMessageThatThrowsCostsAKeeperNoMessageBesideIt() {
        KeeperWorld keeper = KeeperWorld.of(RouterHarness.KEEPER);
        keeper.inbox().add(new KeeperInput.FromLog(null));
        keeper.inbox().add(new KeeperInput.StopAsked());
        KeeperSystems.schedule(
                        GrantPolicy.byDemand(0, 1), KeeperLimits.standalone(), this::recordFailure)
                .tick(keeper, 0);
        assertThat(keeper.isStopping()).isTrue();
        assertThat(failed).hasSize(1);
    }

    /** Guards against a request that can't be placed and keeps those behind it in the queue. */
    @Test
    void aRequestThatCannotBePlacedKeepsNoOtherFromItsEndpoint() {
        Placement placement = (spec, zone, candidates) -> chooseUnless(spec, candidates, 13);
        RouterHarness router = router(placement);
        RequestKey broken = router.arrive(RouterHarness.CHAT, 13, 50);
        RequestKey sound = router.arrive(RouterHarness.CHAT, 100, 50);
        router.world
                .inbox()
                .add(
                        new RouterInput.ReserveGranted(
                                RouterHarness.KEEPER, broken, RouterHarness.GRANT));
        router.receive(
                new RouterInput.ReserveGranted(RouterHarness.KEEPER, sound, RouterHarness.GRANT));
        assertThat(router.outputs(RouterOutput.StartAttempt.class)).hasSize(1);
        assertThat(router.outputs(RouterOutput.Refuse.class))
                .extracting(RouterOutput.Refuse::code, RouterOutput.Refuse::runState)
                .containsExactly(tuple(ResultCode.INTERNAL, RunState.NOT_RUN));
    }

    private RouterHarness router(Placement placement) {
        return new RouterHarness(placement, RouterLimits.standalone(), this::recordFailure)
                .endpoints("engine-1");
    }

    private void recordFailure(Object subject, RuntimeException failure) {
        failed.add(subject);
    }

    private static Optional<EndpointRow> chooseUnless(
            RequestSpec spec, List<EndpointRow> candidates, long brokenTokens) {
        if (spec.promptTokens() == brokenTokens) {
            throw new IllegalStateException("no choice for this request");
        }
        return candidates.stream().findFirst();
    }
}

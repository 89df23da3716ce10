package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an operator's order that nobody carries out: the new version then gets its part of
 * all requests at once, however bad it is.
 */
class RolloutSystemTest {
    private static final String VM = "vm-1";
    private static final String BACK_END = "seilhelfer";
    private static final Version OLD = Version.of("v1");
    private static final Version TARGET = Version.of("v2");
    private static final RolloutOrder ORDER = new RolloutOrder(BACK_END, TARGET, 57, 15_000);
    private static final Version NEXT = Version.of("v3");
    private static final RolloutOrder NEXT_ORDER = new RolloutOrder(BACK_END, NEXT, 58, 15_000);

    private final RouterFleet fleet = new RouterFleet(1, 4);

    @Test
    void untilTheLogHasTheMoveTheTargetGetsNoRequest() {
        order();
        arrive(40);
        assertThat(startedAt(TARGET)).isZero();
    }

    @Test
    void aRouterProposesTheMoveFromTheVersionThatServesNowUntilTheLogHasIt() {
        order();
        fleet.advance(600);
        assertThat(fleet.proposedMoves())
                .hasSize(2)
                .allSatisfy(
                        spec -> {
                            assertThat(spec.from()).isEqualTo(OLD);
                            assertThat(spec.to()).isEqualTo(TARGET);
                        });
        fleet.receive(VM, new RouterInput.MoveChanged(move()));
        fleet.advance(600);
        assertThat(fleet.proposedMoves()).isEmpty();
    }

    @Test
    void whileTheMoveRunsTheTargetGetsFewerThanATenthOfTheRequests() {
        order();
        fleet.receive(VM, new RouterInput.MoveChanged(move()));
        arrive(400);
        assertThat(startedAt(TARGET)).isBetween(1L, 39L);
    }

    @Test
    void aMoveThatIsTakenBackIsReportedAtOnceAndTheTargetGetsNothingMore() {
        order();
        fleet.receive(
                VM, new RouterInput.MoveChanged(move().ended(MoveRow.State.TAKEN_BACK, 9, "bad")));
        assertThat(fleet.reportedRollouts(VM)).containsExactly(MoveRow.State.TAKEN_BACK);
        arrive(100);
        assertThat(startedAt(TARGET)).isZero();
    }

    @Test
    void aMoveThatIsDoneIsReportedOnceTheAnswersOfTheOldVersionHaveHadTimeToEnd() {
        order();
        fleet.receive(VM, new RouterInput.MoveChanged(move().ended(MoveRow.State.DONE, 9, "good")));
        assertThat(fleet.reportedRollouts(VM)).isEmpty();
        arrive(100);
        assertThat(startedAt(TARGET)).isEqualTo(100);
        fleet.advance(2_000);
        assertThat(fleet.reportedRollouts(VM)).containsExactly(MoveRow.State.DONE);
    }

    @Test
    void aVersionThatReplacesTheTargetLaterWithoutAnOrderServes() {
        order();
        fleet.receive(VM, new RouterInput.MoveChanged(move().ended(MoveRow.State.DONE, 9, "good")));
        for (String name : List.of("new-1", "new-2")) {
            fleet.receive(VM, new RouterInput.EndpointWithdrawn(EndpointId.of(name)));
        }
        arrive(10);
        assertThat(startedAt(OLD)).isEqualTo(10);
    }

    /** Guards against a version that is found bad and gets most requests by the next order. */
    @ParameterizedTest
    @EnumSource(
            value = MoveRow.State.class,
            names = {"RUNNING", "TAKEN_BACK"})
    void aVersionThatWasNotProvedGetsNothingByTheNextOrder(MoveRow.State state) {
        order();
        fleet.receive(VM, new RouterInput.MoveChanged(ended(move(), state)));
        order(NEXT_ORDER, 6);
        arrive(100);
        assertThat(startedAt(TARGET)).isZero();
        for (MoveRow.State next : MoveRow.State.values()) {
            fleet.receive(VM, new RouterInput.MoveChanged(ended(move(NEXT_ORDER), next)));
            arrive(200);
            assertThat(startedAt(TARGET)).as("%s", next).isZero();
        }
    }

    /** Guards against a restarted router, which reads the newest order only. */
    @Test
    void theLogTellsOfAVersionThatWasTakenBackBeforeTheNewestOrder() {
        announce(TARGET, 6);
        fleet.receive(VM, new RouterInput.MoveChanged(ended(move(), MoveRow.State.TAKEN_BACK)));
        arrive(100);
        assertThat(startedAt(TARGET)).as("no order is read yet").isZero();
        order(NEXT_ORDER, 2);
        fleet.receive(VM, new RouterInput.MoveChanged(move(NEXT_ORDER)));
        arrive(100);
        assertThat(startedAt(TARGET)).isZero();
    }

    /** Guards against a bad version that is the measure for the next one. */
    @Test
    void aMoveIsProposedFromAVersionThatMayServe() {
        order(ORDER, 6);
        fleet.receive(VM, new RouterInput.MoveChanged(ended(move(), MoveRow.State.TAKEN_BACK)));
        order(NEXT_ORDER, 2);
        assertThat(fleet.proposedMoves())
                .extracting(MoveSpec::from)
                .contains(OLD)
                .containsOnly(OLD);
    }

    @Test
    void aVersionThatWasTakenBackIsTriedAgainByAnOrderThatNamesIt() {
        order();
        fleet.receive(VM, new RouterInput.MoveChanged(ended(move(), MoveRow.State.TAKEN_BACK)));
        RolloutOrder again = new RolloutOrder(BACK_END, TARGET, 60, 15_000);
        order(again, 2);
        fleet.receive(VM, new RouterInput.MoveChanged(move(again)));
        arrive(400);
        assertThat(startedAt(TARGET)).isBetween(1L, 39L);
        fleet.receive(VM, new RouterInput.MoveChanged(ended(move(again), MoveRow.State.DONE)));
        order(new RolloutOrder(BACK_END, NEXT, 61, 15_000), 2);
        arrive(100);
        assertThat(startedAt(TARGET)).as("now proved, beside the old version").isPositive();
    }

    @Test
    void anOlderOrderIsIgnored() {
        order();
        RolloutOrder older = new RolloutOrder(BACK_END, Version.of("v0"), 3, 15_000);
        fleet.receive(VM, new RouterInput.RolloutOrdered(older));
        assertThat(fleet.world(VM).rollouts().find(BACK_END).orElseThrow().order())
                .isEqualTo(ORDER);
    }

    private void order() {
        order(ORDER, 2);
    }

    private void order(RolloutOrder order, int endpoints) {
        announce(order.target(), endpoints);
        fleet.receive(VM, new RouterInput.RolloutOrdered(order));
    }

    private void announce(Version version, int endpoints) {
        String prefix = version.equals(TARGET) ? "new-" : "next-";
        for (int index = 1; index <= endpoints; index++) {
            EndpointRow started =
                    EndpointRow.of(
                            EndpointId.of(prefix + index),
                            BACK_END,
                            Zone.of("langnau"),
                            version,
                            100_000_000);
            fleet.receive(VM, new RouterInput.EndpointAnnounced(started));
        }
    }

    private void arrive(int requests) {
        fleet.takeStarted();
        for (int count = 0; count < requests; count++) {
            fleet.arrive(VM, "system");
        }
    }

    private long startedAt(Version version) {
        return fleet.takeStarted().stream()
                .filter(
                        start ->
                                fleet.world(VM)
                                        .endpoints()
                                        .find(start.endpoint())
                                        .map(EndpointRow::version)
                                        .equals(Optional.of(version)))
                .count();
    }

    private static MoveRow move() {
        return move(ORDER);
    }

    private static MoveRow move(RolloutOrder order) {
        return MoveRow.of(
                new MoveSpec(
                        order.moveName(),
                        OLD,
                        order.target(),
                        1_700_000_015_000L,
                        List.of(40, 80),
                        15),
                5);
    }

    private static MoveRow ended(MoveRow move, MoveRow.State state) {
        return state == MoveRow.State.RUNNING ? move : move.ended(state, 9, "bad");
    }
}

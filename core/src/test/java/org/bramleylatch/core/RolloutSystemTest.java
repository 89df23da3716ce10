package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

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

    @Test
    void anOlderOrderIsIgnored() {
        order();
        RolloutOrder older = new RolloutOrder(BACK_END, Version.of("v0"), 3, 15_000);
        fleet.receive(VM, new RouterInput.RolloutOrdered(older));
        assertThat(fleet.world(VM).rollouts().find(BACK_END).orElseThrow().order())
                .isEqualTo(ORDER);
    }

    private void order() {
        for (int index = 1; index <= 2; index++) {
            EndpointRow started =
                    EndpointRow.of(
                            EndpointId.of("new-" + index),
                            BACK_END,
                            Zone.of("langnau"),
                            TARGET,
                            100_000_000);
            fleet.receive(VM, new RouterInput.EndpointAnnounced(started));
        }
        fleet.receive(VM, new RouterInput.RolloutOrdered(ORDER));
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
        return MoveRow.of(
                new MoveSpec(
                        ORDER.moveName(), OLD, TARGET, 1_700_000_015_000L, List.of(40, 80), 15),
                5);
    }
}

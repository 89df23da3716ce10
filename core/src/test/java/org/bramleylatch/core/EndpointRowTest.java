package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against routers that each fill an endpoint to a bound that is meant for their sum. */
class EndpointRowTest {
    private final EndpointRow engine =
            EndpointRow.of(
                            EndpointId.of("e"),
                            "seilhelfer",
                            Zone.of("langnau"),
                            Version.of("v1"),
                            70_000)
                    .withSlots(70);

    @Test
    void aRouterAloneUsesAllSlotsAndTheWholeMemory() {
        assertThat(filled(69, 1_000).hasCapacityFor(1_000, 1)).isTrue();
        assertThat(filled(70, 1_000).hasCapacityFor(1, 1)).isFalse();
    }

    @Test
    void sevenRoutersTogetherHoldAtMostTwiceWhatTheEndpointHolds() {
        assertThat(filled(19, 1_000).hasCapacityFor(1_000, 7)).isTrue();
        assertThat(filled(20, 1_000).hasCapacityFor(1_000, 7)).isFalse();
    }

    @Test
    void aRequestLargerThanARoutersPartRunsAtAnEndpointWhereItHasNoOther() {
        assertThat(engine.hasCapacityFor(60_000, 7)).isTrue();
        assertThat(filled(1, 1_000).hasCapacityFor(60_000, 7)).isFalse();
    }

    private EndpointRow filled(int requests, long tokens) {
        EndpointRow row = engine;
        for (int count = 0; count < requests; count++) {
            row = row.requestSent(tokens, 0);
        }
        return row;
    }
}

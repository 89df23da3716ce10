package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class HolderRowTest {
    private static final long STAMP_MILLIS = 1_700_000_000_000L;
    private static final long TOLERANCE_MILLIS = 250;

    @Test
    void aHeartbeatWithAnAgreedClockProvesWhenItsHolderEndedAtTheLatest() {
        assertThat(endIfSuccessorStartsAfter(30_000, true))
                .hasValue(STAMP_MILLIS + 30_000 + 2 * TOLERANCE_MILLIS);
    }

    @Test
    void aHeartbeatWithoutAnAgreedClockProvesNothing() {
        assertThat(endIfSuccessorStartsAfter(3_000, false)).isEmpty();
    }

    @Test
    void eachOfTheTwoClocksMayBeWrongByTheTolerance() {
        assertThat(endIfSuccessorStartsAfter(-2 * TOLERANCE_MILLIS, true)).hasValue(STAMP_MILLIS);
        assertThat(endIfSuccessorStartsAfter(-2 * TOLERANCE_MILLIS - 1, true)).isEmpty();
    }

    private static OptionalLong endIfSuccessorStartsAfter(long millis, boolean clockAgreed) {
        HolderRow row =
                new HolderRow(
                        Incarnation.of("keeper@front-1-first"),
                        0,
                        STAMP_MILLIS,
                        clockAgreed,
                        List.of(),
                        false,
                        false);
        return row.endByFleetClock(STAMP_MILLIS + millis, TOLERANCE_MILLIS);
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class HolderRowTest {
    private static final long STAMP_MILLIS = 1_700_000_000_000L;
    private static final long LIMIT_MILLIS = 4_000;
    private static final long TOLERANCE_MILLIS = 250;

    @Test
    void aHeartbeatWithAnAgreedClockProvesWhenItsHolderEndedAtTheLatest() {
        assertThat(isProvenToHaveEnded(3_000, true)).isTrue();
    }

    @Test
    void aHeartbeatWithoutAnAgreedClockProvesNothing() {
        assertThat(isProvenToHaveEnded(3_000, false)).isFalse();
    }

    @Test
    void eachOfTheTwoClocksMayBeWrongByTheTolerance() {
        assertThat(isProvenToHaveEnded(LIMIT_MILLIS - 2 * TOLERANCE_MILLIS, true)).isFalse();
        assertThat(isProvenToHaveEnded(-2 * TOLERANCE_MILLIS - 1, true)).isFalse();
    }

    private static boolean isProvenToHaveEnded(
            long successorStartAfterMillis, boolean clockAgreed) {
        HolderRow row =
                new HolderRow(
                        Incarnation.of("keeper@front-1-first"),
                        0,
                        STAMP_MILLIS,
                        clockAgreed,
                        List.of(),
                        false);
        return row.endedWithinByFleetClock(
                LIMIT_MILLIS, STAMP_MILLIS + successorStartAfterMillis, TOLERANCE_MILLIS);
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryRowTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final RouterLimits LIMITS = RouterLimits.besideKeeper(8, 200, WINDOW_MILLIS);
    private static final long NOW_MILLIS = 1_700_000_000_000L;

    @Test
    void theFixedPartIsSplitAmongTheRoutersThatAreKnown() {
        assertThat(allowed(RetryRow.empty(), 1)).isEqualTo(8);
        assertThat(allowed(RetryRow.empty(), 4)).isEqualTo(2);
    }

    @Test
    void requestsOfTheWindowEarnTheirPart() {
        RetryRow row = RetryRow.empty();
        for (int request = 0; request < 50; request++) {
            row = row.asked(NOW_MILLIS, WINDOW_MILLIS);
        }
        assertThat(allowed(row, 8)).isEqualTo(11);
    }

    @Test
    void whatWasSpentCountsUntilTheWindowHasPassed() {
        RetryRow row = RetryRow.empty().spent(NOW_MILLIS, WINDOW_MILLIS);
        assertThat(row.allows(NOW_MILLIS + WINDOW_MILLIS, LIMITS, 8)).isFalse();
        assertThat(row.allows(NOW_MILLIS + WINDOW_MILLIS + 1_000, LIMITS, 8)).isTrue();
    }

    private static int allowed(RetryRow before, int routers) {
        RetryRow row = before;
        int count = 0;
        while (row.allows(NOW_MILLIS, LIMITS, routers)) {
            row = row.spent(NOW_MILLIS, WINDOW_MILLIS);
            count++;
        }
        return count;
    }
}

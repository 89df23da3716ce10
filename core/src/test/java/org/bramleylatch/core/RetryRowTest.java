package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryRowTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final RouterLimits LIMITS =
            RouterLimits.colocatedWithKeeper(8, 200, WINDOW_MILLIS);
    private static final long NOW_MILLIS = 1_700_000_000_000L;

    @Test
    void theBurstIsDividedAmongTheKnownRouters() {
        assertThat(countAllowedRetries(RetryRow.empty(), 1)).isEqualTo(8);
        assertThat(countAllowedRetries(RetryRow.empty(), 4)).isEqualTo(2);
    }

    @Test
    void requestsInTheWindowRaiseTheAllowance() {
        RetryRow row = RetryRow.empty();
        for (int request = 0; request < 50; request++) {
            row = row.withRequest(NOW_MILLIS, WINDOW_MILLIS);
        }
        assertThat(countAllowedRetries(row, 8)).isEqualTo(11);
    }

    @Test
    void aRetryCountsAgainstTheAllowanceUntilTheWindowHasPassed() {
        RetryRow row = RetryRow.empty().withRetry(NOW_MILLIS, WINDOW_MILLIS);
        assertThat(row.allows(NOW_MILLIS + WINDOW_MILLIS, LIMITS, 8)).isFalse();
        assertThat(row.allows(NOW_MILLIS + WINDOW_MILLIS + 1_000, LIMITS, 8)).isTrue();
    }

    private static int countAllowedRetries(RetryRow initial, int routerCount) {
        RetryRow row = initial;
        int count = 0;
        while (row.allows(NOW_MILLIS, LIMITS, routerCount)) {
            row = row.withRetry(NOW_MILLIS, WINDOW_MILLIS);
            count++;
        }
        return count;
    }
}

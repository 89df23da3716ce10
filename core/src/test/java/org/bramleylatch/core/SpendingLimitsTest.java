package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;
import org.junit.jupiter.api.Test;

class SpendingLimitsTest {
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-first");
    private static final long TOKENS_PER_HOUR = 3_600_000;

    private final SpendingLimits limits = new SpendingLimits();

    SpendingLimitsTest() {
        limits.applyAt(0);
    }

    @Test
    void nothingIsSpentBeforeTheFirstHeartbeat() {
        assertThat(limits.tokensOf(BUDGET)).isZero();
    }

    @Test
    void aBudgetThatAHeartbeatDoesNotNameIsNotSpent() {
        limits.add(heartbeat(0, 100));
        assertThat(limits.tokensOf(BudgetId.of("another"))).isZero();
    }

    @Test
    void aLimitRisesWithTheTimeSinceItsHeartbeat() {
        limits.add(heartbeat(0, 100));
        limits.applyAt(50);
        assertThat(limits.tokensOf(BUDGET)).isEqualTo(150);
    }

    /** Guards against tokens given out twice if the last heartbeat isn't the one relied on. */
    @Test
    void theLowestLimitAppliesWhileItIsUnknownWhichHeartbeatIsTheLastInTheLog() {
        limits.add(heartbeat(0, 100));
        limits.add(heartbeat(0, 80));
        limits.add(heartbeat(0, 120));
        assertThat(limits.tokensOf(BUDGET)).isEqualTo(80);
    }

    @Test
    void aHeartbeatThatWasReadBackLiftsTheLimitsOfThoseBeforeIt() {
        HolderHeartbeat second = heartbeat(1, 120);
        limits.add(heartbeat(0, 100));
        limits.add(second);
        limits.confirm(second);
        assertThat(limits.tokensOf(BUDGET)).isEqualTo(120);
    }

    private static HolderHeartbeat heartbeat(long millis, long tokens) {
        SpendingLimit limit = new SpendingLimit(BUDGET, tokens, TOKENS_PER_HOUR);
        return new HolderHeartbeat(KEEPER, 0, millis, true, List.of(limit));
    }
}

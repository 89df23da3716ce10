package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LogWriterTest {
    private static final KeeperLimits LIMITS = KeeperLimits.standalone();
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final Incarnation KEEPER = Incarnation.of("keeper");

    private final LogWriter writer = LogWriter.empty();

    @Test
    void aBatchWithoutAnAnswerIsSentAgainWithTheSameSequenceNumbers() {
        writer.add(budgetCreated("a"));
        List<SequencedRecord> first = writer.takeDueBatch(0, LIMITS, Optional::empty).orElseThrow();
        assertThat(writer.takeDueBatch(LIMITS.appendRetryMillis() - 1, LIMITS, Optional::empty))
                .isEmpty();
        assertThat(writer.takeDueBatch(LIMITS.appendRetryMillis(), LIMITS, Optional::empty))
                .contains(first);
    }

    @Test
    void anAcknowledgedBatchIsNotSentAgain() {
        writer.add(budgetCreated("a"));
        writer.takeDueBatch(0, LIMITS, Optional::empty);
        writer.markAppended(1);
        assertThat(writer.takeDueBatch(10_000, LIMITS, Optional::empty)).isEmpty();
        assertThat(writer.isIdle()).isFalse();
    }

    @Test
    void theNextBatchWaitsUntilTheOneInFlightIsReadBack() {
        writer.add(budgetCreated("a"));
        writer.takeDueBatch(0, LIMITS, Optional::empty);
        writer.markAppended(1);
        writer.add(budgetCreated("b"));
        assertThat(writer.takeDueBatch(10_000, LIMITS, Optional::empty)).isEmpty();
        writer.markReadBack(1);
        assertThat(writer.takeDueBatch(10_000, LIMITS, Optional::empty).orElseThrow())
                .containsExactly(new SequencedRecord(2, budgetCreated("b")));
    }

    @Test
    void usageOfOneGrantIsMergedIntoOneRecord() {
        writer.add(usageReported(1));
        writer.add(budgetCreated("a"));
        writer.add(usageReported(2));
        List<SequencedRecord> batch = writer.takeDueBatch(0, LIMITS, Optional::empty).orElseThrow();
        assertThat(batch).hasSize(2);
        assertThat(((LedgerRecord.UsageReported) batch.get(0).record()).usages()).hasSize(2);
    }

    private static LedgerRecord budgetCreated(String budget) {
        return new LedgerRecord.BudgetCreated(BudgetId.of(budget), "workspace");
    }

    private static LedgerRecord usageReported(long key) {
        Usage usage = Usage.of(RequestKey.of(1_700_000_000_000L, key), 1);
        return new LedgerRecord.UsageReported(BUDGET, KEEPER, List.of(usage));
    }
}

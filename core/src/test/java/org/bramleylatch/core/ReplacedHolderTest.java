package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderFrozen;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerRecord.UsageReported;
import org.bramleylatch.core.LedgerRecord.UsageSummed;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tokens that are given out twice, as an append of a holder takes effect after its
 * successor returned what the holder cannot have used.
 */
class ReplacedHolderTest {
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final Incarnation OPERATOR = Incarnation.of("operator");
    private static final Incarnation REPLACED = Incarnation.of("keeper@front-1-first");
    private static final Incarnation SUCCESSOR = Incarnation.of("keeper@front-1-second");
    private static final long START_MILLIS = 1_700_000_000_000L;

    private static final SpendingLimit LIMIT = new SpendingLimit(BUDGET, 200, 0);

    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);

    @BeforeEach
    void replaceTheHolder() {
        fold(OPERATOR, new BudgetFunded(BUDGET, 1_000));
        fold(REPLACED, new GrantAsked(BUDGET, REPLACED, 400, 0, 0));
        fold(REPLACED, new HolderHeartbeat(REPLACED, 0, START_MILLIS, true, List.of(LIMIT)));
        fold(SUCCESSOR, new HolderTakenOver(REPLACED, START_MILLIS));
    }

    static Stream<LedgerRecord> recordsOfAHolder() {
        return Stream.of(
                new GrantAsked(BUDGET, REPLACED, 100, 100, 0),
                new GrantReturned(BUDGET, REPLACED, 150),
                new UsageSummed(BUDGET, REPLACED, 150),
                new UsageReported(
                        BUDGET, REPLACED, List.of(Usage.of(RequestKey.of(START_MILLIS, 1), 150))),
                new HolderHeartbeat(REPLACED, 0, START_MILLIS + 1, true, List.of(LIMIT)),
                new HolderTakenOver(SUCCESSOR, START_MILLIS),
                new HolderFrozen(SUCCESSOR),
                new BudgetFunded(BUDGET, 5_000));
    }

    @ParameterizedTest
    @MethodSource("recordsOfAHolder")
    void noRecordOfAReplacedHolderChangesTheLedger(LedgerRecord late) {
        fold(SUCCESSOR, new GrantAsked(BUDGET, SUCCESSOR, 100, 0, 0));
        fold(SUCCESSOR, new HolderHeartbeat(SUCCESSOR, 0, START_MILLIS, true, List.of()));
        List<Object> before = books();
        assertThat(fold(REPLACED, late)).isPresent();
        assertThat(books()).isEqualTo(before);
    }

    @Test
    void aHolderIsReplacedOnlyOnce() {
        List<Object> before = books();
        assertThat(fold(SUCCESSOR, new HolderTakenOver(REPLACED, START_MILLIS))).isPresent();
        assertThat(books()).isEqualTo(before);
    }

    @Test
    void theSuccessorStillBillsWhatItsPredecessorUsed() {
        assertThat(fold(SUCCESSOR, new UsageSummed(BUDGET, REPLACED, 150))).isEmpty();
        assertThat(ledger.grant(BUDGET, REPLACED).map(GrantRow::openTokens)).contains(50L);
    }

    private List<Object> books() {
        return List.of(
                ledger.budgets().rows().toList(),
                ledger.grants().rows().toList(),
                ledger.holders().rows().toList());
    }

    private Optional<ResultCode> fold(Incarnation writer, LedgerRecord record) {
        long offset = ledger.nextOffset();
        return fold.apply(new LogEntry(offset, START_MILLIS + offset, writer, offset + 1, record));
    }
}

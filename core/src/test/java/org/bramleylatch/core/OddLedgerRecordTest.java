package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Folds records with amounts that no keeper writes, but another writer may. */
class OddLedgerRecordTest {
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final Incarnation KEEPER = Incarnation.of("keeper@vm-1-1");
    private static final RouteName ROUTE = RouteName.of("chat");
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final Duration FOLD_TIMEOUT = Duration.ofSeconds(10);

    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private long sequence;

    @BeforeEach
    void grantTokens() {
        fold(new LedgerRecord.BudgetFunded(BUDGET, 100));
        fold(new LedgerRecord.GrantAsked(BUDGET, KEEPER, 50, 0, 0));
    }

    /** Guards against free tokens beyond what a holder that was taken over had left. */
    @Test
    void aTakeoverThatEndsAHolderBeforeItsLastHeartbeatIsRefused() {
        fold(new LedgerRecord.HolderHeartbeat(KEEPER, 0, START_MILLIS, true, List.of()));
        assertThat(fold(new LedgerRecord.HolderTakenOver(KEEPER, -9_000)))
                .contains(ResultCode.FIELD_INVALID);
        assertThat(fold(new LedgerRecord.HolderTakenOver(KEEPER, START_MILLIS - 1)))
                .contains(ResultCode.FIELD_INVALID);
        assertThat(ledger.budgets().find(BUDGET).map(BudgetRow::freeTokens)).contains(50L);
    }

    @Test
    void aTakeoverOfAHolderWithoutAHeartbeatIsRefused() {
        assertThat(fold(new LedgerRecord.HolderTakenOver(KEEPER, START_MILLIS)))
                .contains(ResultCode.GRANT_UNKNOWN);
        assertThat(ledger.budgets().find(BUDGET).map(BudgetRow::freeTokens)).contains(50L);
    }

    /** Guards against a pace that lowers what a holder may have spent. */
    @Test
    void aHeartbeatWithANegativeLimitIsRefused() {
        SpendingLimit limit = new SpendingLimit(BUDGET, 50, -3_600_000);
        assertThat(
                        fold(
                                new LedgerRecord.HolderHeartbeat(
                                        KEEPER, 0, START_MILLIS, true, List.of(limit))))
                .contains(ResultCode.FIELD_INVALID);
    }

    @Test
    void aPaceBeyondTheLargestNumberFreezesTheWholeGrant() {
        SpendingLimit limit = new SpendingLimit(BUDGET, Long.MAX_VALUE, Long.MAX_VALUE);
        fold(new LedgerRecord.HolderHeartbeat(KEEPER, 0, START_MILLIS, true, List.of(limit)));
        fold(new LedgerRecord.HolderTakenOver(KEEPER, Long.MAX_VALUE));
        assertThat(ledger.budgets().find(BUDGET).map(BudgetRow::freeTokens)).contains(50L);
    }

    /** Guards against a keeper that counts to a very large number and does nothing else. */
    @Test
    void aReportOfVeryManyAttemptsIsFoldedAtOnce() {
        fold(
                new LedgerRecord.MoveBegun(
                        new MoveSpec(
                                ROUTE,
                                Version.of("v1"),
                                Version.of("v2"),
                                START_MILLIS + 60_000,
                                List.of(10, 20),
                                Integer.MAX_VALUE)));
        assertTimeoutPreemptively(
                FOLD_TIMEOUT,
                () -> {
                    fold(observed(new Tally(0, Long.MAX_VALUE), new Tally(Long.MAX_VALUE, 0)));
                    fold(observed(new Tally(5, 0), new Tally(Long.MAX_VALUE, Long.MAX_VALUE)));
                });
    }

    private static LedgerRecord observed(Tally oldAttempts, Tally newAttempts) {
        return new LedgerRecord.MoveObserved(
                ROUTE, Version.of("v2"), 0, oldAttempts, newAttempts, false);
    }

    private Optional<ResultCode> fold(LedgerRecord record) {
        sequence++;
        return fold.apply(
                new LogEntry(
                        ledger.nextOffset(),
                        START_MILLIS,
                        Incarnation.of("writer"),
                        sequence,
                        record));
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.BudgetCreated;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.BudgetToppedUp;
import org.bramleylatch.core.LedgerRecord.FrozenGrantReleased;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderFrozen;
import org.bramleylatch.core.LedgerRecord.IntentDeclared;
import org.bramleylatch.core.LedgerRecord.IntentFinished;
import org.bramleylatch.core.LedgerRecord.UsageReported;
import org.bramleylatch.core.LedgerRecord.UsageSummed;
import org.junit.jupiter.api.Test;

class LedgerFoldTest {
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final Incarnation KEEPER = Incarnation.of("keeper");
    private static final Incarnation OTHER_KEEPER = Incarnation.of("other");
    private static final long START_MILLIS = 1_700_000_000_000L;

    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private long sequence;
    private long nowMillis = START_MILLIS;

    @Test
    void aGrantIsLimitedToTheFreeTokens() {
        createPaidBudget(100);
        assertThat(fold(new GrantAsked(BUDGET, KEEPER, 150, 0, 0))).isEmpty();
        assertThat(ledger.grant(BUDGET, KEEPER).map(GrantRow::openTokens)).contains(100L);
        assertThat(budget().freeTokens()).isZero();
    }

    @Test
    void aSmallerTotalOfFundsChangesNothing() {
        fold(new BudgetFunded(BUDGET, 100));
        assertThat(fold(new BudgetFunded(BUDGET, 80))).contains(ResultCode.TOP_UP_REPEATED);
        assertThat(budget().paidTokens()).isEqualTo(100);
    }

    @Test
    void aUsageSumAboveTheGrantIsRefused() {
        fold(new BudgetFunded(BUDGET, 100));
        fold(new GrantAsked(BUDGET, KEEPER, 50, 0, 0));
        assertThat(fold(new UsageSummed(BUDGET, KEEPER, 60))).contains(ResultCode.USAGE_OVER_GRANT);
        assertThat(fold(new UsageSummed(BUDGET, KEEPER, 20))).isEmpty();
        assertThat(budget().settledTokens()).isEqualTo(20);
        assertThat(budget().balances()).isTrue();
    }

    @Test
    void returnedTokensGoToAHolderThatWantsThem() {
        createPaidBudget(100);
        fold(new GrantAsked(BUDGET, KEEPER, 100, 0, 0));
        fold(new GrantAsked(BUDGET, OTHER_KEEPER, 80, 60, 0));
        fold(new GrantReturned(BUDGET, KEEPER, 70));
        assertThat(ledger.grant(BUDGET, OTHER_KEEPER).map(GrantRow::openTokens)).contains(60L);
        assertThat(budget().freeTokens()).isEqualTo(10);
    }

    @Test
    void usageIsSettledOnceForEachKey() {
        createPaidBudget(100);
        fold(new GrantAsked(BUDGET, KEEPER, 50, 0, 0));
        fold(new GrantAsked(BUDGET, OTHER_KEEPER, 50, 0, 0));
        Usage usage = Usage.of(key(1), 30);
        assertThat(fold(new UsageReported(BUDGET, KEEPER, List.of(usage)))).isEmpty();
        assertThat(fold(new UsageReported(BUDGET, OTHER_KEEPER, List.of(usage))))
                .contains(ResultCode.USAGE_ALREADY_SETTLED);
        assertThat(budget().settledTokens()).isEqualTo(30);
    }

    @Test
    void usageAboveTheGrantIsRefused() {
        createPaidBudget(100);
        fold(new GrantAsked(BUDGET, KEEPER, 20, 0, 0));
        assertThat(fold(usage(1, 21))).contains(ResultCode.USAGE_OVER_GRANT);
        assertThat(budget().settledTokens()).isZero();
    }

    @Test
    void aRepeatedAppendCountsOnce() {
        createPaidBudget(100);
        LedgerRecord ask = new GrantAsked(BUDGET, KEEPER, 20, 0, 0);
        fold(ask);
        sequence--;
        assertThat(fold(ask)).contains(ResultCode.RECORD_REPEATED);
        assertThat(budget().openTokens()).isEqualTo(20);
    }

    @Test
    void aTopUpWithARepeatedKeyCountsOnce() {
        createPaidBudget(100);
        assertThat(fold(new BudgetToppedUp(BUDGET, key(0), 100)))
                .contains(ResultCode.TOP_UP_REPEATED);
        assertThat(budget().paidTokens()).isEqualTo(100);
    }

    @Test
    void aFrozenGrantIsNotFreeAndItsHolderCanStillSettleUsage() {
        createPaidBudget(100);
        fold(new GrantAsked(BUDGET, KEEPER, 60, 0, 0));
        fold(new HolderFrozen(KEEPER));
        assertThat(ledger.statement(BUDGET).map(BudgetStatement::frozenTokens)).contains(60L);
        assertThat(budget().freeTokens()).isEqualTo(40);
        assertThat(fold(usage(1, 30))).isEmpty();
        assertThat(budget().settledTokens()).isEqualTo(30);
    }

    @Test
    void onlyAFrozenGrantCanBeReleased() {
        createPaidBudget(100);
        fold(new GrantAsked(BUDGET, KEEPER, 60, 0, 0));
        LedgerRecord release = new FrozenGrantReleased(BUDGET, KEEPER, "operator");
        assertThat(fold(release)).contains(ResultCode.GRANT_NOT_FROZEN);
        fold(new HolderFrozen(KEEPER));
        assertThat(fold(release)).isEmpty();
        assertThat(budget().freeTokens()).isEqualTo(100);
        assertThat(fold(usage(1, 30))).contains(ResultCode.GRANT_UNKNOWN);
    }

    @Test
    void aKeyOlderThanTheWindowIsRefusedAndNotBilledAgain() {
        createPaidBudget(100);
        fold(new GrantAsked(BUDGET, KEEPER, 100, 0, 0));
        RequestKey expiredKey = key(1);
        nowMillis += KeyWindow.SPAN_MILLIS + 120_000;
        assertThat(fold(new UsageReported(BUDGET, KEEPER, List.of(Usage.of(expiredKey, 5)))))
                .contains(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
        assertThat(fold(new IntentDeclared(expiredKey, KEEPER, BUDGET)))
                .contains(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
    }

    @Test
    void theFirstIntentWins() {
        RequestKey key = key(1);
        assertThat(fold(new IntentDeclared(key, KEEPER, BUDGET))).isEmpty();
        assertThat(fold(new IntentDeclared(key, OTHER_KEEPER, BUDGET)))
                .contains(ResultCode.REQUEST_IN_PROGRESS);
        assertThat(ledger.intents().find(key).map(IntentRow::router)).contains(KEEPER);
    }

    @Test
    void aRequestThatDidNotRunCanBeClaimedAgain() {
        RequestKey key = key(1);
        fold(new IntentDeclared(key, KEEPER, BUDGET));
        fold(new IntentFinished(key, KEEPER, RunState.NOT_RUN, 0, ""));
        assertThat(fold(new IntentDeclared(key, OTHER_KEEPER, BUDGET))).isEmpty();
    }

    @Test
    void onlyTheRouterThatDeclaredAnIntentCanFinishIt() {
        RequestKey key = key(1);
        fold(new IntentDeclared(key, KEEPER, BUDGET));
        assertThat(fold(new IntentFinished(key, OTHER_KEEPER, RunState.NOT_RUN, 0, "")))
                .contains(ResultCode.OUTCOME_UNKNOWN);
        assertThat(fold(new IntentDeclared(key, OTHER_KEEPER, BUDGET)))
                .contains(ResultCode.REQUEST_IN_PROGRESS);
    }

    @Test
    void aLedgerLoadedFromASnapshotFoldsLaterRecordsLikeTheOriginal() {
        createPaidBudget(100);
        fold(new GrantAsked(BUDGET, KEEPER, 60, 0, 7));
        fold(usage(1, 10));
        fold(new IntentDeclared(key(2), KEEPER, BUDGET));
        Ledger loaded = Ledger.of(ledger.snapshot());
        assertThat(loaded.digest()).isEqualTo(ledger.digest());
        LogEntry entry = entry(usage(1, 10));
        assertThat(LedgerFold.of(loaded).apply(entry)).isEqualTo(fold.apply(entry));
        assertThat(loaded.digest()).isEqualTo(ledger.digest());
    }

    private void createPaidBudget(long tokens) {
        fold(new BudgetCreated(BUDGET, "workspace"));
        fold(new BudgetToppedUp(BUDGET, key(0), tokens));
    }

    private Optional<ResultCode> fold(LedgerRecord record) {
        return fold.apply(entry(record));
    }

    private LogEntry entry(LedgerRecord record) {
        sequence++;
        return new LogEntry(
                ledger.nextOffset(), nowMillis, Incarnation.of("writer"), sequence, record);
    }

    private BudgetRow budget() {
        return ledger.budgets().find(BUDGET).orElseThrow();
    }

    private static LedgerRecord usage(long key, long tokens) {
        return new UsageReported(BUDGET, KEEPER, List.of(Usage.of(key(key), tokens)));
    }

    private static RequestKey key(long random) {
        return RequestKey.of(START_MILLIS, random);
    }
}

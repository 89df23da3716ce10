package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.BudgetCreated;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.BudgetToppedUp;
import org.bramleylatch.core.LedgerRecord.FrozenReleased;
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
    private static final Incarnation OTHER = Incarnation.of("other");
    private static final long START_MILLIS = 1_700_000_000_000L;

    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private long sequence;
    private long nowMillis = START_MILLIS;

    @Test
    void aGrantIsCutToWhatIsFree() {
        paid(100);
        assertThat(write(new GrantAsked(BUDGET, KEEPER, 150, 0, 0))).isEmpty();
        assertThat(ledger.grant(BUDGET, KEEPER).map(GrantRow::openTokens)).contains(100L);
        assertThat(budget().freeTokens()).isZero();
    }

    @Test
    void aSmallerTotalOfFundsChangesNothing() {
        write(new BudgetFunded(BUDGET, 100));
        assertThat(write(new BudgetFunded(BUDGET, 80))).contains(ResultCode.TOP_UP_REPEATED);
        assertThat(budget().paidTokens()).isEqualTo(100);
    }

    @Test
    void aSumOfUsageThatIsMoreThanItsGrantIsRefused() {
        write(new BudgetFunded(BUDGET, 100));
        write(new GrantAsked(BUDGET, KEEPER, 50, 0, 0));
        assertThat(write(new UsageSummed(BUDGET, KEEPER, 60)))
                .contains(ResultCode.USAGE_OVER_GRANT);
        assertThat(write(new UsageSummed(BUDGET, KEEPER, 20))).isEmpty();
        assertThat(budget().settledTokens()).isEqualTo(20);
        assertThat(budget().balances()).isTrue();
    }

    @Test
    void whatWaitsGetsWhatAnotherReturns() {
        paid(100);
        write(new GrantAsked(BUDGET, KEEPER, 100, 0, 0));
        write(new GrantAsked(BUDGET, OTHER, 80, 60, 0));
        write(new GrantReturned(BUDGET, KEEPER, 70));
        assertThat(ledger.grant(BUDGET, OTHER).map(GrantRow::openTokens)).contains(60L);
        assertThat(budget().freeTokens()).isEqualTo(10);
    }

    @Test
    void usageIsSettledOnceForEachKey() {
        paid(100);
        write(new GrantAsked(BUDGET, KEEPER, 50, 0, 0));
        write(new GrantAsked(BUDGET, OTHER, 50, 0, 0));
        Usage usage = Usage.of(key(1), 30);
        assertThat(write(new UsageReported(BUDGET, KEEPER, List.of(usage)))).isEmpty();
        assertThat(write(new UsageReported(BUDGET, OTHER, List.of(usage))))
                .contains(ResultCode.USAGE_ALREADY_SETTLED);
        assertThat(budget().settledTokens()).isEqualTo(30);
    }

    @Test
    void usageBeyondTheGrantIsRefused() {
        paid(100);
        write(new GrantAsked(BUDGET, KEEPER, 20, 0, 0));
        assertThat(write(usage(1, 21))).contains(ResultCode.USAGE_OVER_GRANT);
        assertThat(budget().settledTokens()).isZero();
    }

    @Test
    void aRepeatedAppendCountsOnce() {
        paid(100);
        LedgerRecord ask = new GrantAsked(BUDGET, KEEPER, 20, 0, 0);
        write(ask);
        sequence--;
        assertThat(write(ask)).contains(ResultCode.RECORD_REPEATED);
        assertThat(budget().openTokens()).isEqualTo(20);
    }

    @Test
    void aRepeatedTopUpCountsOnceAlsoFromAnotherWriter() {
        paid(100);
        assertThat(write(new BudgetToppedUp(BUDGET, key(0), 100)))
                .contains(ResultCode.TOP_UP_REPEATED);
        assertThat(budget().paidTokens()).isEqualTo(100);
    }

    @Test
    void aFrozenShareStaysTheHoldersAndIsNotFree() {
        paid(100);
        write(new GrantAsked(BUDGET, KEEPER, 60, 0, 0));
        write(new HolderFrozen(KEEPER));
        assertThat(ledger.statement(BUDGET).map(BudgetStatement::frozenTokens)).contains(60L);
        assertThat(budget().freeTokens()).isEqualTo(40);
        assertThat(write(usage(1, 30))).isEmpty();
        assertThat(budget().settledTokens()).isEqualTo(30);
    }

    @Test
    void onlyAFrozenShareCanBeReleased() {
        paid(100);
        write(new GrantAsked(BUDGET, KEEPER, 60, 0, 0));
        LedgerRecord release = new FrozenReleased(BUDGET, KEEPER, "operator");
        assertThat(write(release)).contains(ResultCode.GRANT_NOT_FROZEN);
        write(new HolderFrozen(KEEPER));
        assertThat(write(release)).isEmpty();
        assertThat(budget().freeTokens()).isEqualTo(100);
        assertThat(write(usage(1, 30))).contains(ResultCode.GRANT_UNKNOWN);
    }

    @Test
    void aKeyOlderThanTheWindowIsRefusedNotBilledAgain() {
        paid(100);
        write(new GrantAsked(BUDGET, KEEPER, 100, 0, 0));
        RequestKey old = key(1);
        nowMillis += KeyWindow.SPAN_MILLIS + 120_000;
        assertThat(write(new UsageReported(BUDGET, KEEPER, List.of(Usage.of(old, 5)))))
                .contains(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
        assertThat(write(new IntentDeclared(old, KEEPER, BUDGET)))
                .contains(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
    }

    @Test
    void theFirstIntentWins() {
        RequestKey key = key(1);
        assertThat(write(new IntentDeclared(key, KEEPER, BUDGET))).isEmpty();
        assertThat(write(new IntentDeclared(key, OTHER, BUDGET)))
                .contains(ResultCode.REQUEST_IN_PROGRESS);
        assertThat(ledger.intents().find(key).map(IntentRow::router)).contains(KEEPER);
    }

    @Test
    void anIntentThatDidNotRunCanBeClaimedAgain() {
        RequestKey key = key(1);
        write(new IntentDeclared(key, KEEPER, BUDGET));
        write(new IntentFinished(key, KEEPER, RunState.NOT_RUN, 0, ""));
        assertThat(write(new IntentDeclared(key, OTHER, BUDGET))).isEmpty();
    }

    @Test
    void onlyTheClaimantEndsAnIntent() {
        RequestKey key = key(1);
        write(new IntentDeclared(key, KEEPER, BUDGET));
        assertThat(write(new IntentFinished(key, OTHER, RunState.NOT_RUN, 0, "")))
                .contains(ResultCode.OUTCOME_UNKNOWN);
        assertThat(write(new IntentDeclared(key, OTHER, BUDGET)))
                .contains(ResultCode.REQUEST_IN_PROGRESS);
    }

    @Test
    void aLedgerLoadedFromAnImageFoldsOnAsTheOldOne() {
        paid(100);
        write(new GrantAsked(BUDGET, KEEPER, 60, 0, 7));
        write(usage(1, 10));
        write(new IntentDeclared(key(2), KEEPER, BUDGET));
        Ledger loaded = Ledger.of(ledger.image());
        assertThat(loaded.digest()).isEqualTo(ledger.digest());
        LogEntry entry = entry(usage(1, 10));
        assertThat(LedgerFold.of(loaded).apply(entry)).isEqualTo(fold.apply(entry));
        assertThat(loaded.digest()).isEqualTo(ledger.digest());
    }

    private void paid(long tokens) {
        write(new BudgetCreated(BUDGET, "workspace"));
        write(new BudgetToppedUp(BUDGET, key(0), tokens));
    }

    private Optional<ResultCode> write(LedgerRecord record) {
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

    private static RequestKey key(long number) {
        return RequestKey.of(START_MILLIS, number);
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.EraStated;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.GrantReturned;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerRecord.UsageSummed;
import org.bramleylatch.core.LedgerSnapshot.BudgetPart;
import org.bramleylatch.core.LedgerSnapshot.GrantPart;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against BUDGET: tokens that were granted in the lost records of a log that came back from
 * a copy are given out again.
 */
class EraRulesTest {
    private static final BudgetId BUDGET = BudgetId.of("budget");
    private static final Incarnation OPERATOR = Incarnation.of("operator");
    private static final Incarnation FIRST = Incarnation.of("keeper@front-1-first");
    private static final Incarnation OTHER = Incarnation.of("keeper@front-2-first");
    private static final Incarnation SUCCESSOR = Incarnation.of("keeper@front-2-second");
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final LogPosition NOTHING_READ = new LogPosition(0, 0);

    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private long elapsedMillis;

    @BeforeEach
    void foldTheCopy() {
        fold(OPERATOR, new BudgetFunded(BUDGET, 1_000));
        fold(FIRST, new GrantAsked(BUDGET, FIRST, 100, 0, 0));
        fold(OTHER, new GrantAsked(BUDGET, OTHER, 200, 0, 0));
        fold(OTHER, new HolderHeartbeat(OTHER, 0, START_MILLIS, true, List.of()));
    }

    @Test
    void freeTokensAreNotGrantedUntilEveryVmHasStated() {
        state(FIRST, 10, budget(0), grant(FIRST, 100, 0), grant(OTHER, 200, 0));
        fold(FIRST, new GrantAsked(BUDGET, FIRST, 300, 300, 0));
        assertThat(openTokens(FIRST)).isEqualTo(100);
        state(OTHER, 10, budget(0), grant(FIRST, 100, 0), grant(OTHER, 200, 0));
        settle();
        assertThat(openTokens(FIRST)).isEqualTo(400);
    }

    @Test
    void aGrantInTheLostRecordsIsKeptByItsHolder() {
        state(FIRST, 10, budget(0), grant(FIRST, 600, 0), grant(OTHER, 200, 0));
        assertThat(openTokens(FIRST)).isEqualTo(600);
        assertThat(freeTokens()).isEqualTo(200);
        assertThat(ledger.statement(BUDGET).orElseThrow().balances()).isTrue();
    }

    @Test
    void usageInTheLostRecordsOfAHolderThatEndedIsBilledByWhoReadIt() {
        state(FIRST, 10, budget(150), grant(FIRST, 100, 0), grant(OTHER, 50, 150));
        state(SUCCESSOR, 0);
        assertThat(settledTokens()).isEqualTo(150);
        assertThat(openTokens(OTHER)).isEqualTo(50);
    }

    @Test
    void usageOfAGrantThatWasReturnedWholeStaysBilled() {
        state(FIRST, 10, budget(150), grant(FIRST, 100, 0));
        state(OTHER, 10, budget(150), grant(FIRST, 100, 0));
        assertThat(settledTokens()).isEqualTo(150);
        assertThat(freeTokens()).isEqualTo(750);
    }

    @Test
    void eachHolderKnowsItsOwnGrantsBestThoughAnotherHasReadFarther() {
        state(OTHER, 20, budget(0), grant(FIRST, 700, 0), grant(OTHER, 200, 0));
        state(FIRST, 10, budget(0), grant(FIRST, 400, 0), grant(OTHER, 200, 0));
        assertThat(openTokens(FIRST)).isEqualTo(400);
    }

    @Test
    void whoHasReadFartherCountsForTheGrantsOfOthers() {
        state(FIRST, 10, budget(0), grant(FIRST, 100, 0), grant(OTHER, 300, 0));
        Incarnation third = Incarnation.of("keeper@front-3-first");
        state(third, 20, budget(0), grant(FIRST, 100, 0), grant(OTHER, 350, 0));
        assertThat(openTokens(OTHER)).isEqualTo(350);
    }

    @Test
    void statingTwiceChangesNothing() {
        state(FIRST, 10, budget(30), grant(FIRST, 600, 30), grant(OTHER, 200, 0));
        state(FIRST, 10, budget(30), grant(FIRST, 600, 30), grant(OTHER, 200, 0));
        assertThat(openTokens(FIRST)).isEqualTo(600);
        assertThat(settledTokens()).isEqualTo(30);
    }

    @Test
    void usageThatIsBilledBetweenTwoStatementsIsKept() {
        state(FIRST, 10, budget(0), grant(FIRST, 100, 0), grant(OTHER, 200, 0));
        fold(FIRST, new UsageSummed(BUDGET, FIRST, 40));
        state(OTHER, 20, budget(0), grant(FIRST, 100, 0), grant(OTHER, 200, 0));
        assertThat(settledTokens()).isEqualTo(40);
        assertThat(openTokens(FIRST)).isEqualTo(60);
    }

    @Test
    void aHolderReturnsNothingBeforeItHasStated() {
        state(FIRST, 10, budget(0), grant(FIRST, 100, 0), grant(OTHER, 200, 0));
        assertThat(fold(OTHER, new GrantReturned(BUDGET, OTHER, 200)))
                .contains(ResultCode.ERA_UNSETTLED);
    }

    @Test
    void aHolderIsNotTakenOverBeforeEveryVmHasStated() {
        state(FIRST, 10, budget(0), grant(FIRST, 100, 0), grant(OTHER, 200, 0));
        assertThat(fold(SUCCESSOR, new HolderTakenOver(OTHER, START_MILLIS)))
                .contains(ResultCode.ERA_UNSETTLED);
    }

    /** Guards against tokens of a holder that ended, whose last heartbeats nobody knows. */
    @Test
    void aHolderWhoseNewestRecordsNobodyKnowsKeepsItsWholeGrantFrozen() {
        state(Incarnation.of("keeper@front-1-second"), 0);
        state(SUCCESSOR, 0);
        settle();
        fold(SUCCESSOR, new HolderTakenOver(OTHER, START_MILLIS + 1_000));
        assertThat(openTokens(OTHER)).isEqualTo(200);
    }

    @Test
    void whatSuchAHoldersPaceAllowsBeyondItsGrantIsFrozenToo() {
        SpendingLimit limit = new SpendingLimit(BUDGET, 150, 3_600_000);
        fold(OTHER, new HolderHeartbeat(OTHER, 0, START_MILLIS, true, List.of(limit)));
        state(Incarnation.of("keeper@front-1-second"), 0);
        state(SUCCESSOR, 0);
        settle();
        fold(SUCCESSOR, new HolderTakenOver(OTHER, START_MILLIS + 250));
        assertThat(openTokens(OTHER)).isEqualTo(limit.tokensAfter(250)).isGreaterThan(398);
        assertThat(freeTokens()).isEqualTo(900 - limit.tokensAfter(250));
    }

    @Test
    void aVmThatIsNotHeardFromForFifteenSecondsIsNotAwaitedAnyMore() {
        state(FIRST, 10, budget(0), grant(FIRST, 100, 0), grant(OTHER, 200, 0));
        elapsedMillis = 16_000;
        fold(FIRST, new GrantAsked(BUDGET, FIRST, 300, 0, 0));
        assertThat(openTokens(FIRST)).isEqualTo(400);
    }

    @Test
    void aStatementOfAnEarlierEraIsRefused() {
        fold(FIRST, new EraStated(3, FIRST, NOTHING_READ, List.of()));
        assertThat(fold(OTHER, new EraStated(2, OTHER, NOTHING_READ, List.of()))).isPresent();
    }

    /** Lets the time pass that every era takes at least to settle. */
    private void settle() {
        elapsedMillis += 1_000;
        fold(FIRST, new BudgetFunded(BUDGET, 1_000));
    }

    private void state(Incarnation holder, long readOffset, LedgerSnapshot.Row... rows) {
        LogPosition read = new LogPosition(0, readOffset);
        fold(holder, new EraStated(1, holder, read, List.of(rows)));
    }

    private static LedgerSnapshot.Row budget(long settledTokens) {
        return new BudgetPart(new BudgetRow(BUDGET, 1_000, settledTokens, 0));
    }

    private static LedgerSnapshot.Row grant(Incarnation holder, long open, long settled) {
        return new GrantPart(new GrantRow(GrantKey.of(BUDGET, holder), open, settled, 0, 0, false));
    }

    private long openTokens(Incarnation holder) {
        return ledger.grant(BUDGET, holder).map(GrantRow::openTokens).orElse(0L);
    }

    private long freeTokens() {
        return ledger.budgets().find(BUDGET).orElseThrow().freeTokens();
    }

    private long settledTokens() {
        return ledger.budgets().find(BUDGET).orElseThrow().settledTokens();
    }

    private Optional<ResultCode> fold(Incarnation writer, LedgerRecord record) {
        long offset = ledger.nextOffset();
        long millis = START_MILLIS + offset + elapsedMillis;
        return fold.apply(new LogEntry(offset, millis, writer, offset + 1, record));
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.KeeperOutput.ReserveRefused;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.HolderSeen;
import org.bramleylatch.core.LedgerRecord.HolderSucceeded;
import org.junit.jupiter.api.Test;

class SuccessionSystemTest {
    private static final BudgetId BUDGET = KeeperCase.BUDGET;
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-second");
    private static final Incarnation PREDECESSOR = Incarnation.of("keeper@front-1-first");
    private static final GrantKey LEFT_BEHIND = GrantKey.of(BUDGET, PREDECESSOR);
    private static final KeeperLimits LIMITS = KeeperLimits.besideRouter(20_000);
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long BOOT_MILLIS = START_MILLIS - 60_000;

    private List<BudgetId> beyondShare = List.of();
    private final KeeperCase keeper =
            new KeeperCase(KEEPER, GrantPolicy.bySeconds(1_000, 10), LIMITS);

    @Test
    void whatAPredecessorThatEndedWithinItsShareLeftUnusedIsFreeAgain() {
        leave(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(left()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
        assertThat(keeper.statement().settledTokens()).isZero();
    }

    @Test
    void nothingIsTakenBackFromOneThatMayHaveBeenAloneForLong() {
        leave(START_MILLIS - LIMITS.fullGrantAfterMillis(), BOOT_MILLIS);
        assertThat(left()).isEqualTo(200);
    }

    @Test
    void nothingIsTakenBackAfterTheSteadyClockBeganAnewOrTheTimeOfDayWasSet() {
        leave(START_MILLIS - 1_000, BOOT_MILLIS - 2_000);
        assertThat(left()).isEqualTo(200);
    }

    @Test
    void nothingIsTakenBackOfABudgetThatItWasBeyondItsShareOf() {
        beyondShare = List.of(BUDGET);
        leave(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(left()).isEqualTo(200);
    }

    @Test
    void aBudgetThatItWasBeyondItsShareOfKeepsNoOtherFromBeingTakenBack() {
        beyondShare = List.of(BudgetId.of("another"));
        leave(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(left()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
    }

    @Test
    void aKeeperNamesTheBudgetsThatItHasBoundMoreThanItsShareOf() {
        fund();
        keeper.reserve(KeeperCase.ROUTER, KeeperCase.key(1), 100);
        keeper.advance(2_000);
        long open = keeper.world.openTokens(BUDGET);
        keeper.world.holdings().update(BUDGET, row -> row.reserved(open));
        LedgerRecord stamp = UsableShareSystem.stamp(keeper.world, LIMITS, START_MILLIS);
        assertThat(((HolderSeen) stamp).beyondShare()).containsExactly(BUDGET);
    }

    @Test
    void aStampFromTheFutureProvesNothing() {
        leave(START_MILLIS + 10_000, BOOT_MILLIS);
        assertThat(left()).isEqualTo(200);
    }

    @Test
    void aRecordOfTheDeadThatComesLateGetsNoGrantAndIsNotTakenBackTwice() {
        leave(START_MILLIS - 1_000, BOOT_MILLIS);
        keeper.operate(new GrantAsked(BUDGET, PREDECESSOR, 300, 0, 0));
        keeper.operate(new HolderSucceeded(PREDECESSOR, LIMITS.usablePermille()));
        keeper.advance(2_000);
        assertThat(left()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
    }

    @Test
    void aKeeperUsesOnlyItsShareWhileTheLogAnswersAndAllOfItOnceItIsAlone() {
        fund();
        keeper.reserve(KeeperCase.ROUTER, KeeperCase.key(1), 100);
        keeper.advance(2_000);
        long open = keeper.world.openTokens(BUDGET);
        long available = keeper.world.availableTokens(BUDGET);
        assertThat(available).isEqualTo(open * LIMITS.usablePermille() / 1_000 - 100);
        keeper.setAnswering(false);
        keeper.reserve(KeeperCase.ROUTER, KeeperCase.key(2), available + 1);
        assertThat(keeper.all(ReserveRefused.class)).hasSize(1);
        keeper.advance(LIMITS.fullGrantAfterMillis());
        keeper.reserve(KeeperCase.ROUTER, KeeperCase.key(3), available + 1);
        assertThat(keeper.all(ReserveGranted.class)).hasSize(2);
    }

    @Test
    void afterAllVmsLostPowerWhatWasLeftUnusedIsFreeAgainOnceMostClocksAgree() {
        leave(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, true);
        List.of("front-2", "front-3", "front-4").forEach(vm -> others(vm, 0));
        keeper.advance(100);
        assertThat(left()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
    }

    @Test
    void aClockThatMostOthersDisagreeWithProvesNothing() {
        leave(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, true);
        List.of("front-2", "front-3", "front-4").forEach(vm -> others(vm, 2_000));
        keeper.advance(10_000);
        assertThat(left()).isEqualTo(200);
    }

    @Test
    void aStampThatMostClocksDidNotAgreeWithProvesNothingAfterALossOfPower() {
        leave(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, false);
        List.of("front-2", "front-3", "front-4").forEach(vm -> others(vm, 0));
        keeper.advance(10_000);
        assertThat(left()).isEqualTo(200);
    }

    @Test
    void whatWasWrittenBeforeTheStartIsNoWitnessOfTheTime() {
        fund();
        keeper.operate(new GrantAsked(BUDGET, PREDECESSOR, 200, 0, 0));
        keeper.operate(
                new HolderSeen(
                        PREDECESSOR, BOOT_MILLIS - 2_000, START_MILLIS - 2_000, true, List.of()));
        List.of("front-2", "front-3", "front-4").forEach(vm -> others(vm, 0));
        keeper.put(new KeeperInput.FromLog(new LedgerFeed.CaughtUp()));
        keeper.advance(10_000);
        assertThat(left()).isEqualTo(200);
    }

    private void others(String vm, long aheadMillis) {
        Incarnation other = Incarnation.of("keeper@" + vm + "-run");
        keeper.appendFrom(
                other,
                new HolderSeen(other, BOOT_MILLIS, START_MILLIS, false, List.of()),
                aheadMillis);
    }

    private void leave(long stampMillis, long bootMillis) {
        leave(stampMillis, bootMillis, false);
        keeper.advance(2_000);
        keeper.advance(2_000);
    }

    private void leave(long stampMillis, long bootMillis, boolean clockAgreed) {
        fund();
        keeper.operate(new GrantAsked(BUDGET, PREDECESSOR, 200, 0, 0));
        keeper.operate(
                new HolderSeen(PREDECESSOR, bootMillis, stampMillis, clockAgreed, beyondShare));
        keeper.put(new KeeperInput.FromLog(new LedgerFeed.CaughtUp()));
    }

    private void fund() {
        keeper.put(new KeeperInput.ProcessBegan(BOOT_MILLIS, START_MILLIS));
        keeper.put(new KeeperInput.FromLog(new LedgerFeed.LogSeen(true)));
        keeper.operate(new BudgetFunded(BUDGET, 1_000));
    }

    private long left() {
        GrantRow grant = keeper.world.ledger().grants().find(LEFT_BEHIND).orElseThrow();
        assertThat(grant.frozen()).isTrue();
        return grant.openTokens();
    }
}

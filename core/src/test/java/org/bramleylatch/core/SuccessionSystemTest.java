package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.KeeperOutput.ReserveRefused;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.junit.jupiter.api.Test;

class SuccessionSystemTest {
    private static final BudgetId BUDGET = KeeperHarness.BUDGET;
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-second");
    private static final Incarnation PREDECESSOR = Incarnation.of("keeper@front-1-first");
    private static final GrantKey PREDECESSOR_GRANT = GrantKey.of(BUDGET, PREDECESSOR);
    private static final KeeperLimits LIMITS = KeeperLimits.colocatedWithRouter(20_000);
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long BOOT_MILLIS = START_MILLIS - 60_000;

    private List<BudgetId> beyondShare = List.of();
    private final KeeperHarness keeper =
            new KeeperHarness(KEEPER, GrantPolicy.byShortTermDemand(1_000, 10), LIMITS);

    @Test
    void unusedTokensOfAPredecessorThatEndedWithinItsShareAreReturned() {
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
        assertThat(keeper.statement().settledTokens()).isZero();
    }

    @Test
    void nothingIsReturnedIfThePredecessorMayHaveUsedItsWholeGrant() {
        startAfterPredecessor(START_MILLIS - LIMITS.fullGrantAfterMillis(), BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(200);
    }

    @Test
    void nothingIsReturnedIfTheVmRestartedOrItsTimeOfDayWasSet() {
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS - 2_000);
        assertThat(remainingFrozenTokens()).isEqualTo(200);
    }

    @Test
    void nothingIsReturnedToABudgetWhoseUsableShareThePredecessorExceeded() {
        beyondShare = List.of(BUDGET);
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(200);
    }

    @Test
    void exceedingTheShareOfOneBudgetDoesNotKeepTokensOfAnotherFromBeingReturned() {
        beyondShare = List.of(BudgetId.of("another"));
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
    }

    @Test
    void aHeartbeatNamesTheBudgetsWhoseUsableShareIsExceeded() {
        fundBudget();
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(1), 100);
        keeper.advance(2_000);
        long openTokens = keeper.world.openTokens(BUDGET);
        keeper.world.grantUses().update(BUDGET, row -> row.addReserved(openTokens));
        LedgerRecord heartbeat = UsableShareSystem.heartbeat(keeper.world, LIMITS, START_MILLIS);
        assertThat(((HolderHeartbeat) heartbeat).beyondShare()).containsExactly(BUDGET);
    }

    @Test
    void aHeartbeatFromTheFutureProvesNothing() {
        startAfterPredecessor(START_MILLIS + 10_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(200);
    }

    @Test
    void aLateRecordOfThePredecessorGetsNoGrantAndNothingIsReturnedTwice() {
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS);
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, 300, 0, 0));
        keeper.appendAsOperator(new HolderTakenOver(PREDECESSOR, LIMITS.usablePermille()));
        keeper.advance(2_000);
        assertThat(remainingFrozenTokens()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
    }

    @Test
    void aKeeperUsesOnlyItsShareUntilTheLogHasBeenUnreachableForLongEnough() {
        fundBudget();
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(1), 100);
        keeper.advance(2_000);
        long openTokens = keeper.world.openTokens(BUDGET);
        long availableTokens = keeper.world.availableTokens(BUDGET);
        assertThat(availableTokens).isEqualTo(openTokens * LIMITS.usablePermille() / 1_000 - 100);
        keeper.setLogAnswering(false);
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(2), availableTokens + 1);
        assertThat(keeper.outputs(ReserveRefused.class)).hasSize(1);
        keeper.advance(LIMITS.fullGrantAfterMillis());
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(3), availableTokens + 1);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(2);
    }

    @Test
    void unusedTokensAreReturnedAfterAPowerLossOfAllVmsOnceMostClocksAgree() {
        startAfterPredecessor(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, true);
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 0));
        keeper.advance(100);
        assertThat(remainingFrozenTokens()).isEqualTo(200L * LIMITS.usablePermille() / 1_000);
    }

    @Test
    void aClockThatMostOthersDisagreeWithProvesNothing() {
        startAfterPredecessor(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, true);
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 2_000));
        keeper.advance(10_000);
        assertThat(remainingFrozenTokens()).isEqualTo(200);
    }

    @Test
    void aHeartbeatThatMostClocksDidNotAgreeWithProvesNothingAfterAPowerLoss() {
        startAfterPredecessor(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, false);
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 0));
        keeper.advance(10_000);
        assertThat(remainingFrozenTokens()).isEqualTo(200);
    }

    @Test
    void recordsWrittenBeforeTheStartDoNotConfirmTheClock() {
        fundBudget();
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, 200, 0, 0));
        keeper.appendAsOperator(
                new HolderHeartbeat(
                        PREDECESSOR, BOOT_MILLIS - 2_000, START_MILLIS - 2_000, true, List.of()));
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 0));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        keeper.advance(10_000);
        assertThat(remainingFrozenTokens()).isEqualTo(200);
    }

    private void receiveHeartbeat(String vm, long aheadMillis) {
        Incarnation other = Incarnation.of("keeper@" + vm + "-run");
        keeper.appendFrom(
                other,
                new HolderHeartbeat(other, BOOT_MILLIS, START_MILLIS, false, List.of()),
                aheadMillis);
    }

    private void startAfterPredecessor(long heartbeatMillis, long bootMillis) {
        startAfterPredecessor(heartbeatMillis, bootMillis, false);
        keeper.advance(2_000);
        keeper.advance(2_000);
    }

    private void startAfterPredecessor(long heartbeatMillis, long bootMillis, boolean clockAgreed) {
        fundBudget();
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, 200, 0, 0));
        keeper.appendAsOperator(
                new HolderHeartbeat(
                        PREDECESSOR, bootMillis, heartbeatMillis, clockAgreed, beyondShare));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
    }

    private void fundBudget() {
        keeper.receive(new KeeperInput.ProcessStarted(BOOT_MILLIS, START_MILLIS));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        keeper.appendAsOperator(new BudgetFunded(BUDGET, 1_000));
    }

    private long remainingFrozenTokens() {
        GrantRow grant = keeper.world.ledger().grants().find(PREDECESSOR_GRANT).orElseThrow();
        assertThat(grant.frozen()).isTrue();
        return grant.openTokens();
    }
}

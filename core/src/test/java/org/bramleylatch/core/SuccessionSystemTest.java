package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.KeeperOutput.ReserveRefused;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.bramleylatch.core.LedgerRecord.HolderHeartbeat;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.bramleylatch.core.LedgerRecord.UsageSummed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SuccessionSystemTest {
    private static final BudgetId BUDGET = KeeperHarness.BUDGET;
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-second");
    private static final Incarnation PREDECESSOR = Incarnation.of("keeper@front-1-first");
    private static final GrantKey PREDECESSOR_GRANT = GrantKey.of(BUDGET, PREDECESSOR);
    private static final KeeperLimits LIMITS = KeeperLimits.colocatedWithRouter(20_000);
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long BOOT_MILLIS = START_MILLIS - 60_000;

    private static final long GRANTED_TOKENS = 200;
    private static final long SPENT_TOKENS = 60;
    private static final long TOKENS_PER_SECOND = 10;
    private static final SpendingLimit LIMIT =
            new SpendingLimit(BUDGET, SPENT_TOKENS, 3_600 * TOKENS_PER_SECOND);

    private List<SpendingLimit> spendingLimits = List.of(LIMIT);
    private final KeeperHarness keeper =
            new KeeperHarness(KEEPER, GrantPolicy.byShortTermDemand(1_000, 10), LIMITS);

    @Test
    void whatAPredecessorCannotHaveSpentIsReturned() {
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(LIMIT.tokensAfter(1_200));
        assertThat(keeper.statement().settledTokens()).isZero();
    }

    /** Guards against tokens that tenants lose because their holder was dark for seconds. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 10_000})
    void aPredecessorMayHaveSpentNoMoreThanItsPaceAllowsUntilItsSuccessorStarts(long darkMillis) {
        startAfterPredecessor(START_MILLIS - darkMillis, BOOT_MILLIS);
        long pacedTokens = TOKENS_PER_SECOND * darkMillis / 1_000;
        assertThat(remainingFrozenTokens())
                .isBetween(SPENT_TOKENS + pacedTokens, SPENT_TOKENS + pacedTokens + 2);
    }

    @Test
    void nothingIsReturnedIfThePredecessorMayHaveSpentItsWholeGrant() {
        startAfterPredecessor(START_MILLIS - 14_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(GRANTED_TOKENS);
    }

    @Test
    void nothingIsReturnedIfTheVmRestartedOrItsTimeOfDayWasSet() {
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS - 2_000);
        assertThat(remainingFrozenTokens()).isEqualTo(GRANTED_TOKENS);
    }

    @Test
    void whatWasBilledBeforeTheTakeoverIsNotFrozenAgain() {
        fundBudget();
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, GRANTED_TOKENS, 0, 0));
        keeper.appendAsOperator(new UsageSummed(BUDGET, PREDECESSOR, 50));
        heartbeatOfPredecessor(START_MILLIS, BOOT_MILLIS, false);
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        keeper.advance(2_000);
        assertThat(remainingFrozenTokens()).isEqualTo(LIMIT.tokensAfter(200) - 50);
    }

    @Test
    void aGrantThatNoLimitNamesIsReturnedWhole() {
        spendingLimits = List.of(new SpendingLimit(BudgetId.of("another"), 500, 0));
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isZero();
    }

    @Test
    void aHeartbeatNamesALimitThatCoversWhatIsSpentAndWhatRequestsWaitFor() {
        fundBudget();
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(1), 100);
        keeper.advance(2_000);
        keeper.setLogAnswering(false);
        HolderHeartbeat heartbeat =
                (HolderHeartbeat) SpendingLimitSystem.heartbeat(keeper.world, START_MILLIS + 2_000);
        assertThat(heartbeat.limitAt(BUDGET, START_MILLIS + 2_000)).isGreaterThanOrEqualTo(100);
    }

    @Test
    void aHeartbeatFromTheFutureProvesNothing() {
        startAfterPredecessor(START_MILLIS + 10_000, BOOT_MILLIS);
        assertThat(remainingFrozenTokens()).isEqualTo(GRANTED_TOKENS);
    }

    @Test
    void aLateRecordOfThePredecessorGetsNoGrantAndNothingIsReturnedTwice() {
        startAfterPredecessor(START_MILLIS - 1_000, BOOT_MILLIS);
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, 300, 0, 0));
        keeper.appendAsOperator(new HolderTakenOver(PREDECESSOR, START_MILLIS));
        keeper.advance(2_000);
        assertThat(remainingFrozenTokens()).isEqualTo(LIMIT.tokensAfter(1_200));
    }

    @Test
    void aKeeperWithoutTheLogSpendsNoMoreThanItsLimitAllowsByThen() {
        KeeperHarness holder =
                new KeeperHarness(KEEPER, GrantPolicy.byShortTermDemand(60_000, 10), LIMITS);
        holder.appendAsOperator(new BudgetFunded(BUDGET, 100_000));
        holder.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        holder.reserve(KeeperHarness.ROUTER, KeeperHarness.key(1), 100);
        holder.advance(100);
        holder.advance(700);
        holder.setLogAnswering(false);
        long availableTokens = holder.world.availableTokens(BUDGET);
        assertThat(availableTokens).isLessThan(holder.world.idleTokens(BUDGET));
        holder.reserve(KeeperHarness.ROUTER, KeeperHarness.key(2), availableTokens + 1);
        assertThat(holder.outputs(ReserveRefused.class)).hasSize(1);
        holder.advance(1_000);
        holder.reserve(KeeperHarness.ROUTER, KeeperHarness.key(3), availableTokens + 1);
        assertThat(holder.outputs(ReserveGranted.class)).hasSize(2);
    }

    @Test
    void unusedTokensAreReturnedAfterAPowerLossOfAllVmsOnceMostClocksAgree() {
        startAfterPredecessor(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, true);
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 0));
        keeper.advance(100);
        long toleranceMillis = 2 * ClockAgreement.TOLERANCE_MILLIS;
        assertThat(remainingFrozenTokens()).isEqualTo(LIMIT.tokensAfter(2_000 + toleranceMillis));
    }

    @Test
    void aClockThatMostOthersDisagreeWithProvesNothing() {
        startAfterPredecessor(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, true);
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 2_000));
        keeper.advance(10_000);
        assertThat(remainingFrozenTokens()).isEqualTo(GRANTED_TOKENS);
    }

    @Test
    void aHeartbeatThatMostClocksDidNotAgreeWithProvesNothingAfterAPowerLoss() {
        startAfterPredecessor(START_MILLIS - 2_000, BOOT_MILLIS - 2_000, false);
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 0));
        keeper.advance(10_000);
        assertThat(remainingFrozenTokens()).isEqualTo(GRANTED_TOKENS);
    }

    @Test
    void recordsWrittenBeforeTheStartDoNotConfirmTheClock() {
        fundBudget();
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, GRANTED_TOKENS, 0, 0));
        keeper.appendAsOperator(
                new HolderHeartbeat(
                        PREDECESSOR, BOOT_MILLIS - 2_000, START_MILLIS - 2_000, true, List.of()));
        List.of("front-2", "front-3", "front-4").forEach(vm -> receiveHeartbeat(vm, 0));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        keeper.advance(10_000);
        assertThat(remainingFrozenTokens()).isEqualTo(GRANTED_TOKENS);
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
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, GRANTED_TOKENS, 0, 0));
        heartbeatOfPredecessor(heartbeatMillis, bootMillis, clockAgreed);
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
    }

    private void heartbeatOfPredecessor(
            long heartbeatMillis, long bootMillis, boolean clockAgreed) {
        keeper.appendAsOperator(
                new HolderHeartbeat(
                        PREDECESSOR, bootMillis, heartbeatMillis, clockAgreed, spendingLimits));
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

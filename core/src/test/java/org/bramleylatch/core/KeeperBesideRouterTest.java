package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.KeeperOutput.ReserveRefused;
import org.bramleylatch.core.KeeperOutput.UsageDurable;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.GrantAsked;
import org.junit.jupiter.api.Test;

class KeeperBesideRouterTest {
    private static final BudgetId BUDGET = KeeperHarness.BUDGET;
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-second");
    private static final Incarnation PREDECESSOR = Incarnation.of("keeper@front-1-first");
    private static final Incarnation OTHER_KEEPER = Incarnation.of("keeper@front-2-first");
    private static final Incarnation ROUTER = KeeperHarness.ROUTER;
    private static final RequestKey KEY_ONE = KeeperHarness.key(1);
    private static final RequestKey KEY_TWO = KeeperHarness.key(2);
    private static final long RETENTION_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 5_000;

    private final KeeperHarness keeper =
            new KeeperHarness(
                    KEEPER,
                    GrantPolicy.byShortTermDemand(1_000, 100),
                    KeeperLimits.colocatedWithRouter(RETENTION_MILLIS));

    @Test
    void paidTotalsOfTheOperatorAreAppliedOnceHoweverOftenTheyAreReported() {
        keeper.receive(paidTotal(1_000));
        keeper.receive(paidTotal(1_000));
        keeper.appendAsOperator(new BudgetFunded(BUDGET, 1_000));
        keeper.advance(SETTLE_MILLIS);
        assertThat(keeper.statement().paidTokens()).isEqualTo(1_000);
        keeper.receive(paidTotal(1_500));
        keeper.advance(SETTLE_MILLIS);
        assertThat(keeper.statement().paidTokens()).isEqualTo(1_500);
    }

    @Test
    void usageIsBilledInOneSumAndSettledOnce() {
        fundBudget(1_000);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        keeper.reserve(ROUTER, KEY_TWO, 100);
        keeper.advance(100);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(2);
        reportUsage(KEY_ONE, 60);
        reportUsage(KEY_TWO, 30);
        assertThat(keeper.outputs(UsageDurable.class)).hasSize(2);
        keeper.advance(SETTLE_MILLIS);
        assertThat(keeper.statement().settledTokens()).isEqualTo(90);
        assertThat(keeper.world.grantUses().find(BUDGET).map(GrantUseRow::committedTokens))
                .contains(0L);
    }

    @Test
    void grantsOfAnEarlierRunOnTheSameVmAreFrozenAndThoseOfOtherVmsAreNot() {
        fundBudget(1_000);
        keeper.appendAsOperator(new GrantAsked(BUDGET, PREDECESSOR, 200, 0, 0));
        keeper.appendAsOperator(new GrantAsked(BUDGET, OTHER_KEEPER, 300, 0, 0));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        keeper.advance(SETTLE_MILLIS);
        assertThat(keeper.world.ledger().grant(BUDGET, PREDECESSOR).map(GrantRow::frozen))
                .contains(true);
        assertThat(keeper.world.ledger().grant(BUDGET, OTHER_KEEPER).map(GrantRow::frozen))
                .contains(false);
    }

    @Test
    void aRefusalNamesTheKeepersThatHoldEnoughTokensWithTheLargestGrantFirst() {
        Incarnation keeperWithLargerGrant = Incarnation.of("keeper@front-3-first");
        fundBudget(1_000);
        keeper.appendAsOperator(new GrantAsked(BUDGET, OTHER_KEEPER, 400, 0, 0));
        keeper.appendAsOperator(new GrantAsked(BUDGET, keeperWithLargerGrant, 500, 0, 0));
        keeper.receive(new KeeperInput.ReserveAsked(ROUTER, KEY_ONE, BUDGET, 300));
        assertThat(keeper.lastOutput(ReserveRefused.class).map(ReserveRefused::lenders))
                .contains(List.of(keeperWithLargerGrant, OTHER_KEEPER));
    }

    @Test
    void aBorrowingRouterIsAnsweredAtOnceIfTheBudgetHasTooFewFreeTokens() {
        fundBudget(1_000);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        keeper.receive(
                new KeeperInput.ReserveAsked(
                        KeeperHarness.OTHER_ROUTER, KEY_TWO, BUDGET, 950, true));
        assertThat(keeper.lastOutput(ReserveRefused.class).map(ReserveRefused::router))
                .contains(KeeperHarness.OTHER_ROUTER);
        reportUsage(KEY_ONE, 10);
        keeper.receive(
                new KeeperInput.ReserveAsked(
                        KeeperHarness.OTHER_ROUTER, KEY_TWO, BUDGET, 50, true));
        assertThat(keeper.lastOutput(ReserveGranted.class).map(ReserveGranted::router))
                .contains(KeeperHarness.OTHER_ROUTER);
    }

    @Test
    void tokensThatAnotherRouterBorrowsAreFetchedFromTheLogAndCountAsDemand() {
        fundBudget(100_000);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        keeper.receive(
                new KeeperInput.ReserveAsked(
                        KeeperHarness.OTHER_ROUTER, KEY_TWO, BUDGET, 9_000, true));
        assertThat(keeper.lastOutput(ReserveGranted.class).map(ReserveGranted::router))
                .contains(ROUTER);
        keeper.advance(100);
        assertThat(keeper.lastOutput(ReserveGranted.class).map(ReserveGranted::router))
                .contains(KeeperHarness.OTHER_ROUTER);
        assertThat(keeper.world.openTokens(BUDGET)).isGreaterThanOrEqualTo(9_000 + 100);
    }

    @Test
    void aKeeperThatCannotReachTheLogRefusesWithLogUnavailable() {
        fundBudget(1_000);
        keeper.setLogAnswering(false);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        assertThat(keeper.lastOutput(ReserveRefused.class).map(ReserveRefused::code))
                .contains(ResultCode.LOG_UNAVAILABLE);
    }

    @Test
    void aRequestIsRefusedWithoutWaitingWhileTheLogIsUnreachable() {
        fundBudget(1_000);
        keeper.setLogAnswering(false);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        assertThat(keeper.outputs(ReserveRefused.class)).hasSize(1);
    }

    @Test
    void noBatchIsStartedWhileTheLogIsUnreachableSoThatNoOtherHeartbeatLimitsWhatIsSpent() {
        fundBudget(1_000);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        keeper.advance(SETTLE_MILLIS);
        keeper.setLogAnswering(false);
        int batchesBefore = keeper.outputs(KeeperOutput.AppendBatch.class).size();
        reportUsage(KEY_ONE, 60);
        keeper.advance(SETTLE_MILLIS);
        assertThat(keeper.outputs(KeeperOutput.AppendBatch.class)).hasSize(batchesBefore);
        keeper.setLogAnswering(true);
        assertThat(keeper.statement().settledTokens()).isEqualTo(60);
    }

    @Test
    void reservedTokensAreNotReturned() {
        GrantPolicy returnsAllIdleTokens =
                view ->
                        view.idleTokens() < view.neededIdleTokens()
                                ? GrantPlan.asking(1_000)
                                : GrantPlan.returning(view.idleTokens());
        KeeperHarness returningKeeper =
                new KeeperHarness(
                        KEEPER,
                        returnsAllIdleTokens,
                        KeeperLimits.colocatedWithRouter(RETENTION_MILLIS));
        returningKeeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        returningKeeper.appendAsOperator(new BudgetFunded(BUDGET, 1_000));
        returningKeeper.reserve(ROUTER, KEY_ONE, 100);
        returningKeeper.advance(SETTLE_MILLIS);
        assertThat(returningKeeper.outputs(ReserveGranted.class)).hasSize(1);
        assertThat(returningKeeper.world.openTokens(BUDGET)).isEqualTo(100);
        assertThat(returningKeeper.world.availableTokens(BUDGET)).isZero();
    }

    @Test
    void usageOfALostRouterIsBilledUpToItsReservation() {
        fundBudget(1_000);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        keeper.receive(
                new KeeperInput.AttemptNoted(
                        ROUTER, KEY_ONE, AttemptId.of("attempt"), EndpointId.of("endpoint")));
        keeper.receive(new KeeperInput.RouterDisconnected(ROUTER));
        keeper.advance(2 * SETTLE_MILLIS);
        assertThat(keeper.outputs(KeeperOutput.QueryAttemptUsage.class)).isNotEmpty();
        keeper.receive(
                new KeeperInput.AttemptUsageReported(KEY_ONE, OptionalLong.of(Long.MAX_VALUE)));
        keeper.advance(SETTLE_MILLIS);
        assertThat(keeper.statement().settledTokens()).isEqualTo(100);
    }

    private void fundBudget(long tokens) {
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        keeper.appendAsOperator(new BudgetFunded(BUDGET, tokens));
    }

    private void reportUsage(RequestKey key, long tokens) {
        GrantKey grant = GrantKey.of(BUDGET, KEEPER);
        keeper.receive(new KeeperInput.UsageSubmitted(ROUTER, grant, Usage.of(key, tokens)));
    }

    private static KeeperInput paidTotal(long tokens) {
        return new KeeperInput.FundsConfigured(List.of(BudgetFunds.of(BUDGET, tokens)));
    }
}

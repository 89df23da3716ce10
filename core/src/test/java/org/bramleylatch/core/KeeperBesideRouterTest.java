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
    private static final BudgetId BUDGET = KeeperCase.BUDGET;
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-second");
    private static final Incarnation PREDECESSOR = Incarnation.of("keeper@front-1-first");
    private static final Incarnation OTHER = Incarnation.of("keeper@front-2-first");
    private static final Incarnation ROUTER = KeeperCase.ROUTER;
    private static final RequestKey ONE = KeeperCase.key(1);
    private static final RequestKey TWO = KeeperCase.key(2);
    private static final long KEEP_MILLIS = 20_000;
    private static final long SETTLED_MILLIS = 5_000;

    private final KeeperCase keeper =
            new KeeperCase(
                    KEEPER,
                    GrantPolicy.bySeconds(1_000, 100),
                    KeeperLimits.besideRouter(KEEP_MILLIS));

    @Test
    void fundsOfTheOperatorArePaidInOnceHoweverOftenTheyAreTold() {
        keeper.put(funds(1_000));
        keeper.put(funds(1_000));
        keeper.operate(new BudgetFunded(BUDGET, 1_000));
        keeper.advance(SETTLED_MILLIS);
        assertThat(keeper.statement().paidTokens()).isEqualTo(1_000);
        keeper.put(funds(1_500));
        keeper.advance(SETTLED_MILLIS);
        assertThat(keeper.statement().paidTokens()).isEqualTo(1_500);
    }

    @Test
    void usageIsBilledInOneSumAndSettledOnce() {
        fund(1_000);
        keeper.reserve(ROUTER, ONE, 100);
        keeper.reserve(ROUTER, TWO, 100);
        keeper.advance(100);
        assertThat(keeper.all(ReserveGranted.class)).hasSize(2);
        use(ONE, 60);
        use(TWO, 30);
        assertThat(keeper.all(UsageDurable.class)).hasSize(2);
        keeper.advance(SETTLED_MILLIS);
        assertThat(keeper.statement().settledTokens()).isEqualTo(90);
        assertThat(keeper.world.holdings().find(BUDGET).map(HoldingRow::boundTokens)).contains(0L);
    }

    @Test
    void grantsOfTheRunBeforeOnTheSameVmAreFrozenAndThoseOfOthersAreNot() {
        fund(1_000);
        keeper.operate(new GrantAsked(BUDGET, PREDECESSOR, 200, 0, 0));
        keeper.operate(new GrantAsked(BUDGET, OTHER, 300, 0, 0));
        keeper.put(new KeeperInput.FromLog(new LedgerFeed.CaughtUp()));
        keeper.advance(SETTLED_MILLIS);
        assertThat(keeper.world.ledger().grant(BUDGET, PREDECESSOR).map(GrantRow::frozen))
                .contains(true);
        assertThat(keeper.world.ledger().grant(BUDGET, OTHER).map(GrantRow::frozen))
                .contains(false);
    }

    @Test
    void aRequestThatOthersHoldTokensForIsRefusedWithTheirNamesTheRichestFirst() {
        Incarnation richer = Incarnation.of("keeper@front-3-first");
        fund(1_000);
        keeper.operate(new GrantAsked(BUDGET, OTHER, 400, 0, 0));
        keeper.operate(new GrantAsked(BUDGET, richer, 500, 0, 0));
        keeper.put(new KeeperInput.ReserveAsked(ROUTER, ONE, BUDGET, 300));
        assertThat(keeper.last(ReserveRefused.class).map(ReserveRefused::lenders))
                .contains(List.of(richer, OTHER));
    }

    @Test
    void tokensAreLentAtOnceOrNotAtAll() {
        fund(1_000);
        keeper.reserve(ROUTER, ONE, 100);
        keeper.put(new KeeperInput.ReserveAsked(KeeperCase.OTHER_ROUTER, TWO, BUDGET, 900, true));
        assertThat(keeper.last(ReserveRefused.class).map(ReserveRefused::router))
                .contains(KeeperCase.OTHER_ROUTER);
        use(ONE, 10);
        keeper.put(new KeeperInput.ReserveAsked(KeeperCase.OTHER_ROUTER, TWO, BUDGET, 50, true));
        assertThat(keeper.last(ReserveGranted.class).map(ReserveGranted::router))
                .contains(KeeperCase.OTHER_ROUTER);
    }

    @Test
    void whatOthersAskForIsFetchedFromTheLogAndCountsAsDemand() {
        fund(100_000);
        keeper.reserve(ROUTER, ONE, 100);
        long before = keeper.world.openTokens(BUDGET);
        keeper.put(new KeeperInput.ReserveAsked(KeeperCase.OTHER_ROUTER, TWO, BUDGET, 9_000, true));
        assertThat(keeper.last(ReserveGranted.class).map(ReserveGranted::router)).contains(ROUTER);
        keeper.advance(100);
        assertThat(keeper.last(ReserveGranted.class).map(ReserveGranted::router))
                .contains(KeeperCase.OTHER_ROUTER);
        assertThat(keeper.world.openTokens(BUDGET)).isGreaterThan(before + 9_000);
    }

    @Test
    void aKeeperWithoutTheLogSaysSoAsOthersMayKnowOfTokensThatItDoesNot() {
        fund(1_000);
        keeper.setAnswering(false);
        keeper.reserve(ROUTER, ONE, 100);
        assertThat(keeper.last(ReserveRefused.class).map(ReserveRefused::code))
                .contains(ResultCode.LOG_UNAVAILABLE);
    }

    @Test
    void nothingIsWaitedForWhileTheLogIsAway() {
        fund(1_000);
        keeper.setAnswering(false);
        keeper.reserve(ROUTER, ONE, 100);
        assertThat(keeper.all(ReserveRefused.class)).hasSize(1);
    }

    @Test
    void noBatchIsBegunWhileTheLogIsAwaySoThatNoStampPutsOffTheUseOfTheWholeGrant() {
        fund(1_000);
        keeper.reserve(ROUTER, ONE, 100);
        keeper.advance(SETTLED_MILLIS);
        keeper.setAnswering(false);
        int before = keeper.all(KeeperOutput.AppendBatch.class).size();
        use(ONE, 60);
        keeper.advance(SETTLED_MILLIS);
        assertThat(keeper.all(KeeperOutput.AppendBatch.class)).hasSize(before);
        keeper.setAnswering(true);
        assertThat(keeper.statement().settledTokens()).isEqualTo(60);
    }

    @Test
    void tokensAreOnlyGivenBackAsFarAsWhatIsBoundStaysWithinTheShare() {
        GrantPolicy keepsNothing =
                view ->
                        view.idleTokens() < view.neededIdleTokens()
                                ? GrantPlan.asking(1_000)
                                : GrantPlan.returning(view.idleTokens());
        KeeperCase generous =
                new KeeperCase(KEEPER, keepsNothing, KeeperLimits.besideRouter(KEEP_MILLIS));
        generous.put(new KeeperInput.FromLog(new LedgerFeed.LogSeen(true)));
        generous.operate(new BudgetFunded(BUDGET, 1_000));
        generous.reserve(ROUTER, ONE, 100);
        generous.advance(SETTLED_MILLIS);
        assertThat(generous.all(ReserveGranted.class)).hasSize(1);
        assertThat(generous.world.availableTokens(BUDGET)).isZero();
    }

    @Test
    void whatALostRouterHadBorrowedIsBilledInFull() {
        fund(1_000);
        keeper.reserve(ROUTER, ONE, 100);
        keeper.put(
                new KeeperInput.AttemptNoted(
                        ROUTER, ONE, AttemptId.of("attempt"), EndpointId.of("endpoint")));
        keeper.put(new KeeperInput.RouterLost(ROUTER));
        keeper.advance(2 * SETTLED_MILLIS);
        assertThat(keeper.all(KeeperOutput.AskEndpoint.class)).isNotEmpty();
        keeper.put(new KeeperInput.EndpointReported(ONE, OptionalLong.of(Long.MAX_VALUE)));
        keeper.advance(SETTLED_MILLIS);
        assertThat(keeper.statement().settledTokens()).isEqualTo(100);
    }

    private void fund(long tokens) {
        keeper.put(new KeeperInput.FromLog(new LedgerFeed.LogSeen(true)));
        keeper.operate(new BudgetFunded(BUDGET, tokens));
    }

    private void use(RequestKey key, long tokens) {
        GrantKey grant = GrantKey.of(BUDGET, KEEPER);
        keeper.put(new KeeperInput.UsageGiven(ROUTER, grant, Usage.of(key, tokens)));
    }

    private static KeeperInput funds(long tokens) {
        return new KeeperInput.FundsSeen(List.of(BudgetFunds.of(BUDGET, tokens)));
    }
}

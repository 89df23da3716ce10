package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.bramleylatch.core.KeeperOutput.IntentRefused;
import org.bramleylatch.core.KeeperOutput.IntentWon;
import org.bramleylatch.core.KeeperOutput.QueryAttemptUsage;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.KeeperOutput.ReserveRefused;
import org.bramleylatch.core.KeeperOutput.UsageDurable;
import org.bramleylatch.core.KeeperOutput.UsageHeld;
import org.junit.jupiter.api.Test;

class KeeperWorldTest {
    private static final RequestKey KEY_ONE = KeeperHarness.key(1);
    private static final RequestKey KEY_TWO = KeeperHarness.key(2);
    private static final Incarnation ROUTER = KeeperHarness.ROUTER;
    private static final Incarnation OTHER_ROUTER = KeeperHarness.OTHER_ROUTER;

    private final KeeperHarness keeper = new KeeperHarness(1_000);

    @Test
    void tokensAreReservedOnlyOnceTheGrantWasReadBack() {
        keeper.setLogAnswering(false);
        keeper.reserve(ROUTER, KEY_ONE, 100);
        assertThat(keeper.outputs(ReserveGranted.class)).isEmpty();
        keeper.setLogAnswering(true);
        keeper.advance(1_000);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(1);
    }

    @Test
    void aRequestThatNeedsMoreThanTheBudgetHasLeftIsRefusedAsExhausted() {
        keeper.reserve(ROUTER, KEY_ONE, 1_001);
        assertThat(lastRefusalCode()).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    }

    @Test
    void aReportOfOneRouterIsPassedOnToTheOthersAndToThoseThatConnectLater() {
        RouterReport report = new CrashEvidence(ROUTER, List.of(), List.of());
        keeper.receive(new KeeperInput.RouterConnected(ROUTER));
        keeper.receive(new KeeperInput.RouterConnected(OTHER_ROUTER));
        keeper.receive(new KeeperInput.RouterReported(report));
        Incarnation late = Incarnation.of("late-router");
        keeper.receive(new KeeperInput.RouterConnected(late));
        assertThat(keeper.outputs(KeeperOutput.ReportRelayed.class))
                .containsExactly(
                        new KeeperOutput.ReportRelayed(OTHER_ROUTER, report),
                        new KeeperOutput.ReportRelayed(late, report));
    }

    @Test
    void twoRequestsNeverShareTokens() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.reserve(ROUTER, KEY_TWO, 600);
        keeper.advance(KeeperLimits.standalone().reserveWaitMillis());
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(1);
        assertThat(lastRefusalCode()).isEqualTo(ResultCode.BUDGET_UNAVAILABLE);
    }

    @Test
    void aWaitingRequestGetsTheTokensThatAnotherDidNotUse() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.reserve(ROUTER, KEY_TWO, 600);
        keeper.reportUsage(KEY_ONE, 100);
        keeper.advance(100);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(2);
    }

    @Test
    void tokensThatAreBeingReturnedAreNotReserved() {
        keeper.reserve(ROUTER, KEY_ONE, 900);
        keeper.advance(100);
        keeper.setLogAnswering(false);
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        keeper.receive(new KeeperInput.ReservationReleased(ROUTER, KEY_ONE));
        assertThat(keeper.world.grantUses().find(KeeperHarness.BUDGET))
                .map(GrantUseRow::returningTokens)
                .hasValueSatisfying(tokens -> assertThat(tokens).isPositive());
        keeper.reserve(ROUTER, KEY_TWO, 900);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(1);
    }

    @Test
    void aKeeperThatCannotReachTheLogServesFromItsGrant() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.setLogAnswering(false);
        keeper.reportUsage(KEY_ONE, 100);
        keeper.reserve(ROUTER, KEY_TWO, 500);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(2);
    }

    @Test
    void usageIsHeldAtOnceAndDurableOnceReadBack() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.setLogAnswering(false);
        keeper.reportUsage(KEY_ONE, 100);
        assertThat(keeper.outputs(UsageHeld.class)).hasSize(1);
        assertThat(keeper.outputs(UsageDurable.class)).isEmpty();
        keeper.setLogAnswering(true);
        keeper.advance(1_000);
        assertThat(keeper.outputs(UsageDurable.class)).hasSize(1);
        assertThat(keeper.statement().settledTokens()).isEqualTo(100);
    }

    @Test
    void aRequestThatWasBilledIsNotRunAgain() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.reportUsage(KEY_ONE, 100);
        keeper.advance(100);
        keeper.reserve(OTHER_ROUTER, KEY_ONE, 600);
        assertThat(lastRefusalCode()).isEqualTo(ResultCode.USAGE_ALREADY_SETTLED);
    }

    @Test
    void usageOfALostRouterIsBilledAsItsEndpointReports() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.noteAttempt(KEY_ONE, "attempt");
        keeper.receive(new KeeperInput.RouterDisconnected(ROUTER));
        keeper.advance(KeeperLimits.standalone().retryGraceMillis());
        assertThat(keeper.outputs(QueryAttemptUsage.class)).hasSize(1);
        keeper.receive(new KeeperInput.AttemptUsageReported(KEY_ONE, OptionalLong.of(77)));
        keeper.advance(100);
        assertThat(keeper.statement().settledTokens()).isEqualTo(77);
    }

    @Test
    void anEndpointThatDoesNotReportUsageIsAskedAgain() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.noteAttempt(KEY_ONE, "attempt");
        keeper.receive(new KeeperInput.RouterDisconnected(ROUTER));
        keeper.advance(KeeperLimits.standalone().retryGraceMillis());
        keeper.receive(new KeeperInput.AttemptUsageReported(KEY_ONE, OptionalLong.empty()));
        keeper.advance(KeeperLimits.standalone().orphanRetryMillis());
        assertThat(keeper.outputs(QueryAttemptUsage.class)).hasSize(2);
    }

    @Test
    void theReservationOfALostRouterThatStartedNoAttemptIsRemoved() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.receive(new KeeperInput.RouterDisconnected(ROUTER));
        assertThat(keeper.world.reservations().size()).isZero();
    }

    @Test
    void aRetryGetsTheTokensOfTheLostAttemptBeforeOtherRequests() {
        startAndLoseAttempt(KEY_ONE, 1_000);
        keeper.reserve(ROUTER, KEY_TWO, 1_000);
        keeper.reserve(OTHER_ROUTER, KEY_ONE, 1_000);
        assertThat(keeper.lastOutput(ReserveGranted.class).orElseThrow().router())
                .isEqualTo(OTHER_ROUTER);
        keeper.receive(
                new KeeperInput.UsageSubmitted(
                        OTHER_ROUTER, KeeperHarness.GRANT, Usage.of(KEY_ONE, 300)));
        keeper.advance(100);
        assertThat(keeper.statement().settledTokens()).isEqualTo(300);
    }

    @Test
    void theLostAttemptIsBilledIfItsRetryIsReleased() {
        startAndLoseAttempt(KEY_ONE, 600);
        keeper.reserve(OTHER_ROUTER, KEY_ONE, 600);
        keeper.receive(new KeeperInput.ReservationReleased(OTHER_ROUTER, KEY_ONE));
        keeper.receive(new KeeperInput.AttemptUsageReported(KEY_ONE, OptionalLong.of(77)));
        keeper.advance(100);
        assertThat(keeper.statement().settledTokens()).isEqualTo(77);
    }

    @Test
    void aClaimIsWonOnlyOnceItWasReadBack() {
        keeper.setLogAnswering(false);
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        claim(ROUTER);
        assertThat(keeper.outputs(IntentWon.class)).isEmpty();
        keeper.setLogAnswering(true);
        keeper.advance(1_000);
        assertThat(keeper.outputs(IntentWon.class)).hasSize(1);
    }

    @Test
    void aClaimIsRefusedAtOnceWhileTheLogIsUnreachable() {
        keeper.setLogAnswering(false);
        claim(ROUTER);
        assertThat(keeper.lastOutput(IntentRefused.class).orElseThrow().code())
                .isEqualTo(ResultCode.LOG_UNAVAILABLE);
    }

    @Test
    void aClaimThatIsWonAfterItsRefusalIsFinishedAsNotRun() {
        keeper.setLogAnswering(false);
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        claim(ROUTER);
        keeper.advance(KeeperLimits.standalone().intentWaitMillis());
        assertThat(keeper.outputs(IntentRefused.class)).hasSize(1);
        keeper.setLogAnswering(true);
        keeper.advance(1_000);
        keeper.advance(1_000);
        assertThat(keeper.outputs(IntentWon.class)).isEmpty();
        assertThat(keeper.world.ledger().intents().find(KEY_ONE))
                .hasValueSatisfying(row -> assertThat(row.canBeReclaimed()).isTrue());
    }

    @Test
    void aSnapshotKeepsTheKeysOfSettledUsage() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.reportUsage(KEY_ONE, 100);
        keeper.advance(100);
        KeeperWorld other = KeeperWorld.of(Incarnation.of("other"));
        other.inbox()
                .add(
                        new KeeperInput.FromLog(
                                new LogUpdate.SnapshotLoaded(keeper.world.ledger().snapshot())));
        KeeperSystems.schedule(
                        GrantPolicy.byDemand(0, 1),
                        KeeperLimits.standalone(),
                        FailureHandler.rethrowing())
                .tick(other, 0);
        assertThat(other.ledger().settledKeys().has(KEY_ONE)).isTrue();
    }

    @Test
    void aPlannedStopSettlesAllUsageAndReturnsAllGrants() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        keeper.receive(new KeeperInput.StopAsked());
        assertThat(keeper.outputs(KeeperOutput.Stopped.class)).isEmpty();
        keeper.reserve(ROUTER, KEY_TWO, 10);
        assertThat(lastRefusalCode()).isEqualTo(ResultCode.SHUTTING_DOWN);
        keeper.reportUsage(KEY_ONE, 100);
        keeper.advance(100);
        keeper.advance(100);
        assertThat(keeper.outputs(KeeperOutput.Stopped.class)).hasSize(1);
        assertThat(keeper.statement())
                .isEqualTo(new BudgetStatement(KeeperHarness.BUDGET, 1_000, 100, 0, 0, 900));
    }

    @Test
    void aBatchThatIsAppendedAgainAfterALostAnswerTakesEffectOnce() {
        keeper.reserve(ROUTER, KEY_ONE, 600);
        keeper.advance(100);
        List<SequencedRecord> batch =
                keeper.outputs(KeeperOutput.AppendBatch.class).get(0).records();
        long openTokens = keeper.statement().openTokens();
        keeper.receive(
                new KeeperInput.FromLog(
                        new LogUpdate.EntriesRead(
                                List.of(
                                        new LogEntry(
                                                keeper.world.ledger().nextOffset(),
                                                0,
                                                KeeperHarness.KEEPER,
                                                batch.get(0).sequence(),
                                                batch.get(0).record())))));
        assertThat(keeper.statement().openTokens()).isEqualTo(openTokens);
    }

    private void startAndLoseAttempt(RequestKey key, long tokens) {
        keeper.reserve(ROUTER, key, tokens);
        keeper.advance(100);
        keeper.noteAttempt(key, "attempt");
        keeper.receive(new KeeperInput.RouterDisconnected(ROUTER));
    }

    private void claim(Incarnation router) {
        keeper.receive(new KeeperInput.IntentAsked(router, KEY_ONE, KeeperHarness.BUDGET));
    }

    private ResultCode lastRefusalCode() {
        return keeper.lastOutput(ReserveRefused.class).orElseThrow().code();
    }
}

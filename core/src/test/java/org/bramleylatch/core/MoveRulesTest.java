package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.bramleylatch.core.LedgerRecord.MoveBegun;
import org.bramleylatch.core.LedgerRecord.MoveExpired;
import org.bramleylatch.core.LedgerRecord.MoveObserved;
import org.bramleylatch.core.LedgerRecord.MoveTakenBack;
import org.junit.jupiter.api.Test;

class MoveRulesTest {
    private static final RouteName ROUTE = RouteName.of("chat");
    private static final Version OLD = Version.of("v1");
    private static final Version NEW = Version.of("v2");
    private static final long DEADLINE_MILLIS = 10_000;
    private static final Tally NONE = Tally.empty();
    private static final MoveSpec ORDERED =
            new MoveSpec(
                    RouteName.ofOrder("seilhelfer", 7),
                    OLD,
                    NEW,
                    DEADLINE_MILLIS,
                    List.of(40, 80),
                    15);

    private final Ledger ledger = Ledger.empty();
    private final LedgerFold fold = LedgerFold.of(ledger);
    private long nowMillis;
    private long sequence;

    @Test
    void aMoveAdvancesStageByStageUntilItIsDone() {
        begin();
        assertThat(move().sharePermille()).isEqualTo(10);
        observe(0, new Tally(20, 0));
        assertThat(move().sharePermille()).isEqualTo(500);
        observe(1, new Tally(20, 0));
        assertThat(move().state()).isEqualTo(MoveRow.State.DONE);
        assertThat(move().sharePermille()).isEqualTo(1_000);
    }

    @Test
    void aBadVersionIsTakenBackWithItsReason() {
        begin();
        observe(0, new Tally(0, 10));
        assertThat(move().state()).isEqualTo(MoveRow.State.TAKEN_BACK);
        assertThat(move().sharePermille()).isZero();
        assertThat(move().reason()).contains("bad share");
    }

    @Test
    void theAlarmOfASingleRouterTakesAMoveBack() {
        begin();
        write(new MoveObserved(ROUTE, NEW, 0, NONE, new Tally(3, 1), true));
        assertThat(move().state()).isEqualTo(MoveRow.State.TAKEN_BACK);
    }

    @Test
    void goodAttemptsOfAnEarlierStageDoNotCountForTheNext() {
        begin();
        observe(0, new Tally(20, 0));
        observe(0, new Tally(20, 0));
        assertThat(move().stage()).isEqualTo(1);
    }

    @Test
    void aMoveThatHasNotEndedByItsDeadlineIsTakenBack() {
        begin();
        assertThat(write(new MoveExpired(ROUTE, NEW))).contains(ResultCode.MOVE_NOT_RUNNING);
        nowMillis = DEADLINE_MILLIS;
        assertThat(write(new MoveExpired(ROUTE, NEW))).isEmpty();
        assertThat(move().reason()).isEqualTo("deadline");
    }

    @Test
    void aReportAfterTheDeadlineTakesAMoveBackInsteadOfFinishingIt() {
        begin();
        observe(0, new Tally(20, 0));
        nowMillis = DEADLINE_MILLIS;
        observe(1, new Tally(20, 0));
        assertThat(move().state()).isEqualTo(MoveRow.State.TAKEN_BACK);
    }

    @Test
    void onlyTheFirstOfTwoRacingOperatorsBeginsTheMove() {
        assertThat(begin()).isEmpty();
        assertThat(begin()).contains(ResultCode.MOVE_RUNNING);
    }

    @Test
    void anEndedMoveStaysEnded() {
        begin();
        write(new MoveTakenBack(ROUTE, "operators"));
        observe(0, new Tally(20, 0));
        assertThat(move().state()).isEqualTo(MoveRow.State.TAKEN_BACK);
        assertThat(write(new MoveTakenBack(ROUTE, "others"))).contains(ResultCode.MOVE_NOT_RUNNING);
    }

    @Test
    void aRouterWithoutAKeeperStopsABadVersionOnItsOwnEvidence() {
        begin();
        RouterMoveRow routerMove = RouterMoveRow.of(move());
        RequestKey key = keyWithinFirstStage(routerMove);
        for (int attempt = 0; attempt < 10; attempt++) {
            routerMove = routerMove.withAttempt(NEW, false, Optional.empty());
        }
        assertThat(routerMove.isNewVersionStopped()).isTrue();
        assertThat(routerMove.versionFor(key)).isEqualTo(OLD);
    }

    @Test
    void anOlderStateOfAMoveDoesNotReplaceANewerOne() {
        begin();
        MoveRow early = move();
        observe(0, new Tally(20, 0));
        assertThat(RouterMoveRow.of(move()).withMove(early).move()).isEqualTo(move());
    }

    @Test
    void anOrderBeginsItsMoveOnceHoweverManyRoutersProposeItAndAlsoAfterItsEnd() {
        assertThat(write(new LedgerRecord.MoveOrdered(ORDERED))).isEmpty();
        assertThat(write(new LedgerRecord.MoveOrdered(ORDERED))).contains(ResultCode.MOVE_RUNNING);
        write(new MoveTakenBack(ORDERED.route(), "operator"));
        assertThat(write(new LedgerRecord.MoveOrdered(ORDERED))).contains(ResultCode.MOVE_RUNNING);
        assertThat(orderedMove().state()).isEqualTo(MoveRow.State.TAKEN_BACK);
    }

    @Test
    void anOrderedMoveTestsTheNewVersionUntilShortlyBeforeItsDeadline() {
        write(new LedgerRecord.MoveOrdered(ORDERED));
        write(new MoveObserved(ORDERED.route(), NEW, 0, NONE, new Tally(20, 0), false));
        assertThat(orderedMove().stage()).isEqualTo(1);
        write(new MoveObserved(ORDERED.route(), NEW, 1, NONE, new Tally(20, 0), false));
        assertThat(orderedMove().isRunning()).isTrue();
        nowMillis = DEADLINE_MILLIS - 3_900;
        write(new MoveObserved(ORDERED.route(), NEW, 1, NONE, new Tally(1, 0), false));
        assertThat(orderedMove().state()).isEqualTo(MoveRow.State.DONE);
    }

    private MoveRow orderedMove() {
        return ledger.moves().find(ORDERED.route()).orElseThrow();
    }

    private static RequestKey keyWithinFirstStage(RouterMoveRow routerMove) {
        return LongStream.range(0, 10_000)
                .mapToObj(number -> RequestKey.of(0, number))
                .filter(key -> routerMove.versionFor(key).equals(NEW))
                .findFirst()
                .orElseThrow();
    }

    private Optional<ResultCode> begin() {
        return write(
                new MoveBegun(
                        new MoveSpec(ROUTE, OLD, NEW, DEADLINE_MILLIS, List.of(10, 500), 20)));
    }

    private void observe(int stage, Tally newAttempts) {
        write(new MoveObserved(ROUTE, NEW, stage, new Tally(100, 1), newAttempts, false));
    }

    private MoveRow move() {
        return ledger.moves().find(ROUTE).orElseThrow();
    }

    private Optional<ResultCode> write(LedgerRecord record) {
        sequence++;
        return fold.apply(
                new LogEntry(
                        ledger.nextOffset(),
                        nowMillis,
                        Incarnation.of("writer"),
                        sequence,
                        record));
    }
}

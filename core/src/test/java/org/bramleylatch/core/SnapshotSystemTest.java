package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against snapshots that all keepers write at once, as none of them reads that another wrote
 * one; reading them filled the links of all VMs, so that they read the configuration late (CONFIG).
 */
class SnapshotSystemTest {
    private static final long RETENTION_MILLIS = 20_000;

    /** Exceeds the interval of a keeper with the longest jitter that is not active. */
    private static final long DUE_MILLIS = 15_100;

    /** Lasts as long as a read that waits for a record, with the pause after it. */
    private static final long IDLE_READ_MILLIS = 2_500;

    private final KeeperHarness keeper =
            new KeeperHarness(
                    KeeperHarness.KEEPER,
                    GrantPolicy.byShortTermDemand(9_000, 10_000),
                    KeeperLimits.colocatedWithRouter(RETENTION_MILLIS));

    @BeforeEach
    void fund() {
        keeper.appendAsOperator(new LedgerRecord.BudgetFunded(KeeperHarness.BUDGET, 1_000));
        keeper.advance(0);
        loseAppends();
    }

    @Test
    void aSnapshotIsTakenWhileTheLogAnswersWithoutRecords() {
        readEvery(IDLE_READ_MILLIS, DUE_MILLIS);
        assertThat(snapshots()).isPositive();
    }

    @Test
    void noSnapshotIsTakenWhileTheLogDoesNotAnswer() {
        keeper.advance(DUE_MILLIS);
        assertThat(snapshots()).isZero();
        answer(true);
        assertThat(snapshots()).isEqualTo(1);
    }

    @Test
    void theIntervalBeginsAnewAfterAnOutage() {
        answer(false);
        keeper.advance(DUE_MILLIS);
        answer(true);
        readEvery(100, 1_000);
        assertThat(snapshots()).isZero();
        readEvery(100, DUE_MILLIS);
        assertThat(snapshots()).isPositive();
    }

    @Test
    void failedReadsInQuickSuccessionDoNotKeepTheSnapshotAway() {
        for (long millis = 0; millis <= DUE_MILLIS; millis += 200) {
            answer(false);
            keeper.advance(200);
            answer(true);
        }
        assertThat(snapshots()).isPositive();
    }

    /** Keeps what the keeper appends from being read back, which would be answers of the log. */
    private void loseAppends() {
        keeper.setLogAnswering(false);
        answer(true);
    }

    private void readEvery(long intervalMillis, long durationMillis) {
        for (long millis = 0; millis < durationMillis; millis += intervalMillis) {
            keeper.advance(intervalMillis);
            answer(true);
        }
    }

    private void answer(boolean reachable) {
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(reachable)));
    }

    private long snapshots() {
        return keeper.outputs(KeeperOutput.Note.class).stream()
                .filter(note -> note.event().kind() == EventKind.SNAPSHOT_TAKEN)
                .count();
    }
}

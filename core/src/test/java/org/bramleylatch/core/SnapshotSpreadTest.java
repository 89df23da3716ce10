package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against snapshots of nearly all keepers at once, as each reads late that another wrote
 * one: 68 of 81 wrote one in the first second of a day, and reading them filled the links of all
 * VMs.
 */
class SnapshotSpreadTest {
    private static final int KEEPERS = 80;
    private static final long RETENTION_MILLIS = 20_000;
    private static final long STEP_MILLIS = 100;
    private static final long MAX_INTERVAL_MILLIS = 15_100;

    /** Covers the pause of a keeper that holds no grants, and a VM that is late by a second. */
    private static final long READ_LAG_MILLIS = 1_500;

    @Test
    void fewKeepersWriteASnapshotBeforeTheyReadThatOfTheFirst() {
        List<Long> sorted =
                IntStream.range(0, KEEPERS).mapToObj(this::firstSnapshotMillis).sorted().toList();
        long firstMillis = sorted.get(0);
        assertThat(sorted.stream().filter(millis -> millis <= firstMillis + READ_LAG_MILLIS))
                .hasSizeLessThan(KEEPERS / 3);
    }

    /** Returns after how long a keeper takes a snapshot that reads none of another keeper. */
    private long firstSnapshotMillis(int index) {
        KeeperHarness keeper =
                new KeeperHarness(
                        Incarnation.of("keeper@front-" + index + "-" + suffix(index)),
                        GrantPolicy.byShortTermDemand(9_000, 10_000),
                        KeeperLimits.colocatedWithRouter(RETENTION_MILLIS));
        keeper.appendAsOperator(new LedgerRecord.BudgetFunded(KeeperHarness.BUDGET, 1_000));
        keeper.receive(new KeeperInput.HolderSelected(false));
        keeper.advance(0);
        keeper.setLogAnswering(false);
        return LongStream.iterate(0, millis -> millis <= MAX_INTERVAL_MILLIS, m -> m + STEP_MILLIS)
                .filter(millis -> takesSnapshot(keeper))
                .findFirst()
                .orElse(MAX_INTERVAL_MILLIS);
    }

    /** Returns what differs in the names of processes that start on the same VM. */
    private static String suffix(int index) {
        return Long.toHexString(new Random(index).nextLong());
    }

    private static boolean takesSnapshot(KeeperHarness keeper) {
        keeper.advance(STEP_MILLIS);
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        return keeper.outputs(KeeperOutput.Note.class).stream()
                .anyMatch(note -> note.event().kind() == EventKind.SNAPSHOT_TAKEN);
    }
}

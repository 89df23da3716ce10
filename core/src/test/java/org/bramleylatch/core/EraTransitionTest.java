package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.AppendBatch;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.EraStated;
import org.junit.jupiter.api.Test;

class EraTransitionTest {
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-first");
    private static final Incarnation OTHER = Incarnation.of("keeper@front-2-first");
    private static final LogPosition NOTHING_READ = new LogPosition(0, 0);
    private static final long MILLIS = KeeperHarness.key(0).issuedMillis();

    private final KeeperHarness keeper =
            new KeeperHarness(
                    KEEPER,
                    GrantPolicy.byShortTermDemand(1_000, 100),
                    KeeperLimits.colocatedWithRouter(20_000));

    /** Guards against a keeper that never appends again, as it waits for what the copy has. */
    @Test
    void aKeeperThatHasNothingToStateDoesNotWaitForABatchThatTheCopyHas() {
        keeper.appendAsOperator(new BudgetFunded(KeeperHarness.BUDGET, 1_000));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        keeper.advance(1_000);
        keeper.setLogAnswering(false);
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(true)));
        BudgetFunds funds = BudgetFunds.of(KeeperHarness.BUDGET, 2_000);
        keeper.receive(new KeeperInput.FundsConfigured(List.of(funds)));
        List<SequencedRecord> batch = keeper.lastOutput(AppendBatch.class).orElseThrow().records();
        assertThat(keeper.world.writer().isIdle()).isFalse();
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.EraBegan(1)));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.EntriesRead(settledLogWith(batch))));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        assertThat(keeper.world.transition()).isEmpty();
        assertThat(keeper.world.writer().isIdle()).isTrue();
    }

    private static List<LogEntry> settledLogWith(List<SequencedRecord> batch) {
        SequencedRecord last = batch.get(batch.size() - 1);
        return List.of(
                new LogEntry(0, MILLIS, KEEPER, last.sequence(), last.record()),
                new LogEntry(1, MILLIS, OTHER, 1, new EraStated(1, OTHER, NOTHING_READ, List.of())),
                new LogEntry(
                        2,
                        MILLIS + 20_000,
                        OTHER,
                        2,
                        new BudgetFunded(KeeperHarness.BUDGET, 2_000)));
    }
}

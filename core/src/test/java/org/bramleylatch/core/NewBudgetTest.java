package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.KeeperOutput.ReserveRefused;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests of a workspace that a configuration has just added: they were refused as
 * if the workspace had no budget until the ledger had its funds.
 */
class NewBudgetTest {
    private static final RequestKey KEY = KeeperHarness.key(1);

    private final KeeperHarness keeper =
            new KeeperHarness(
                    KeeperHarness.KEEPER,
                    GrantPolicy.byShortTermDemand(1_000, 100),
                    KeeperLimits.colocatedWithRouter(20_000));

    @Test
    void aRequestWaitsForTheFundsThatTheConfigurationGivesItsBudget() {
        keeper.setLogAnswering(true);
        keeper.world.inbox().add(configuration(1_000));
        keeper.reserve(KeeperHarness.ROUTER, KEY, 100);
        assertThat(keeper.outputs(ReserveRefused.class)).isEmpty();
        keeper.advance(60);
        keeper.advance(60);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(1);
    }

    @Test
    void aRequestOfABudgetThatNoConfigurationNamesIsRefusedAtOnce() {
        keeper.setLogAnswering(true);
        keeper.receive(new KeeperInput.FundsConfigured(List.of()));
        keeper.reserve(KeeperHarness.ROUTER, KEY, 100);
        assertThat(keeper.outputs(ReserveRefused.class))
                .extracting(ReserveRefused::code)
                .containsExactly(ResultCode.UNKNOWN_BUDGET);
    }

    private static KeeperInput configuration(long paidTokens) {
        return new KeeperInput.FundsConfigured(
                List.of(BudgetFunds.of(KeeperHarness.BUDGET, paidTokens)));
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.AppendBatch;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.junit.jupiter.api.Test;

class InactiveKeeperTest {
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-first");

    private final KeeperHarness keeper =
            new KeeperHarness(
                    KEEPER,
                    GrantPolicy.byShortTermDemand(1_000, 100),
                    KeeperLimits.colocatedWithRouter(20_000));

    InactiveKeeperTest() {
        keeper.receive(new KeeperInput.ProcessStarted(0, KeeperHarness.key(0).issuedMillis()));
        keeper.receive(new KeeperInput.HolderSelected(false));
    }

    @Test
    void aKeeperThatIsNotSelectedAppendsNothingWhileHoldersAppendTheFunds() {
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        configureFunds();
        keeper.appendAsOperator(new LedgerRecord.BudgetFunded(KeeperHarness.BUDGET, 1_000));
        keeper.advance(3_500);
        assertThat(keeper.world.isFunded()).isTrue();
        assertThat(keeper.outputs(AppendBatch.class)).isEmpty();
    }

    @Test
    void aKeeperThatIsSelectedAppendsAHeartbeatAndTheFundsThatTheLedgerLacks() {
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        configureFunds();
        keeper.receive(new KeeperInput.HolderSelected(true));
        keeper.advance(1_000);
        assertThat(keeper.statement().paidTokens()).isEqualTo(1_000);
        assertThat(keeper.world.ledger().holders().has(KEEPER)).isTrue();
    }

    @Test
    void aKeeperThatIsNotSelectedServesRoutersThatReachNoHolder() {
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        configureFunds();
        keeper.appendAsOperator(new LedgerRecord.BudgetFunded(KeeperHarness.BUDGET, 1_000));
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(1), 100);
        keeper.advance(100);
        assertThat(keeper.outputs(ReserveGranted.class)).hasSize(1);
        assertThat(keeper.world.isActive()).isTrue();
    }

    @Test
    void aStartingKeeperAppendsTheFundsItselfIfNoHolderDoes() {
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        configureFunds();
        keeper.advance(3_000);
        keeper.advance(1_000);
        assertThat(keeper.world.isFunded()).isTrue();
    }

    private void configureFunds() {
        keeper.receive(
                new KeeperInput.FundsConfigured(
                        List.of(new BudgetFunds(KeeperHarness.BUDGET, 1_000))));
    }
}

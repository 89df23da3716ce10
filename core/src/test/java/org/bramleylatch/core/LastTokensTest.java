package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.junit.jupiter.api.Test;

/**
 * Answers the pattern "a budget is almost used up": a keeper keeps half of its grant for a
 * successor to return, and the last tokens must still be spent.
 */
class LastTokensTest {
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-first");
    private static final KeeperLimits LIMITS = KeeperLimits.colocatedWithRouter(20_000);
    private static final long PAID_TOKENS = 10_000;
    private static final long REQUEST_TOKENS = 800;

    private final KeeperHarness keeper =
            new KeeperHarness(KEEPER, GrantPolicy.byShortTermDemand(9_000, 10_000), LIMITS);

    LastTokensTest() {
        keeper.appendAsOperator(new BudgetFunded(KeeperHarness.BUDGET, PAID_TOKENS));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
    }

    @Test
    void allTokensOfABudgetCanBeUsedUpToTheLastRequestThatFits() {
        assertThat(useUp()).isEqualTo(PAID_TOKENS / REQUEST_TOKENS);
    }

    @Test
    void aKeeperThatUsesItsWholeGrantHasToldTheLogBefore() {
        useUp();
        HolderRow row = keeper.world.ledger().holders().find(KEEPER).orElseThrow();
        assertThat(row.beyondShare()).containsExactly(KeeperHarness.BUDGET);
    }

    @Test
    void aSuccessorReturnsNothingOfAGrantThatMayHaveBeenUsedWhole() {
        useUp();
        keeper.appendAsOperator(new HolderTakenOver(KEEPER, LIMITS.usablePermille()));
        assertThat(keeper.statement().freeTokens()).isZero();
    }

    @Test
    void whileTheLogIsUnreachableTheRestOfAGrantIsNotUsed() {
        reserve(1);
        keeper.setLogAnswering(false);
        int granted = 1;
        while (reserve(granted + 1)) {
            granted++;
        }
        assertThat(granted * REQUEST_TOKENS)
                .isLessThanOrEqualTo(PAID_TOKENS * LIMITS.usablePermille() / 1_000);
    }

    @Test
    void aTopUpEndsTheUseOfWholeGrants() {
        useUp();
        keeper.appendAsOperator(new BudgetFunded(KeeperHarness.BUDGET, 100 * PAID_TOKENS));
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(100), REQUEST_TOKENS);
        keeper.advance(1_000);
        keeper.advance(1_000);
        assertThat(keeper.world.wholeGrantsConfirmed()).isEmpty();
    }

    private int useUp() {
        int granted = 0;
        while (reserve(granted + 1)) {
            granted++;
            GrantKey grant = GrantKey.of(KeeperHarness.BUDGET, KEEPER);
            Usage usage = Usage.of(KeeperHarness.key(granted), REQUEST_TOKENS);
            keeper.receive(new KeeperInput.UsageSubmitted(KeeperHarness.ROUTER, grant, usage));
            keeper.advance(700);
        }
        return granted;
    }

    /** Returns true if tokens are reserved within the time that a caller waits. */
    private boolean reserve(int number) {
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(number), REQUEST_TOKENS);
        for (int step = 0; step < 8; step++) {
            keeper.advance(20);
        }
        List<ReserveGranted> granted = keeper.outputs(ReserveGranted.class);
        return granted.stream().anyMatch(row -> row.key().equals(KeeperHarness.key(number)));
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.bramleylatch.core.LedgerRecord.HolderTakenOver;
import org.junit.jupiter.api.Test;

/**
 * Answers the pattern "a budget is almost used up": a keeper spends only what its limit in the log
 * allows, and the last tokens must still be spent.
 */
class LastTokensTest {
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-first");
    private static final KeeperLimits LIMITS = KeeperLimits.colocatedWithRouter(20_000);
    private static final long PAID_TOKENS = 10_000;
    private static final long REQUEST_TOKENS = 800;

    private final KeeperHarness keeper =
            new KeeperHarness(KEEPER, GrantPolicy.byShortTermDemand(9_000, 10_000), LIMITS);

    private long elapsedMillis;

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
        int granted = useUp();
        HolderRow row = keeper.world.ledger().holders().find(KEEPER).orElseThrow();
        assertThat(row.spentTokensAt(KeeperHarness.BUDGET, row.stampMillis()))
                .isGreaterThanOrEqualTo(granted * REQUEST_TOKENS);
    }

    @Test
    void aSuccessorReturnsNothingThatWasUsed() {
        int granted = useUp();
        long stampMillis = keeper.world.ledger().holders().find(KEEPER).orElseThrow().stampMillis();
        keeper.appendAsOperator(new HolderTakenOver(KEEPER, stampMillis));
        assertThat(keeper.statement().freeTokens())
                .isLessThanOrEqualTo(PAID_TOKENS - granted * REQUEST_TOKENS);
    }

    @Test
    void whileTheLogIsUnreachableOnlyWhatTheLimitAllowsIsUsed() {
        reserve(1);
        HolderRow row = keeper.world.ledger().holders().find(KEEPER).orElseThrow();
        keeper.setLogAnswering(false);
        int granted = 1;
        while (reserve(granted + 1)) {
            granted++;
        }
        assertThat(granted * REQUEST_TOKENS)
                .isLessThan(PAID_TOKENS)
                .isLessThanOrEqualTo(
                        row.spentTokensAt(KeeperHarness.BUDGET, row.stampMillis() + elapsedMillis));
    }

    /** Guards against BUDGET_UNAVAILABLE while an ask that nobody waited for isn't sent yet. */
    @Test
    void aTopUpLetsAKeeperThatUsedUpItsGrantServeAtOnce() {
        int granted = useUp();
        keeper.appendAsOperator(new BudgetFunded(KeeperHarness.BUDGET, 100 * PAID_TOKENS));
        assertThat(reserve(granted + 10)).isTrue();
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
            elapsedMillis += 20;
        }
        List<ReserveGranted> granted = keeper.outputs(ReserveGranted.class);
        return granted.stream().anyMatch(row -> row.key().equals(KeeperHarness.key(number)));
    }
}

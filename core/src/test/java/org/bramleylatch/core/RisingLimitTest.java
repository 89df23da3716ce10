package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.bramleylatch.core.KeeperOutput.ReserveGranted;
import org.bramleylatch.core.KeeperOutput.ReserveRefused;
import org.bramleylatch.core.LedgerRecord.BudgetFunded;
import org.junit.jupiter.api.Test;

/**
 * Guards against BUDGET_UNAVAILABLE for a request that waited for a heartbeat in vain while the
 * limit rose to what it needs.
 */
class RisingLimitTest {
    private static final Incarnation KEEPER = Incarnation.of("keeper@front-1-first");
    private static final KeeperLimits LIMITS = KeeperLimits.colocatedWithRouter(20_000);
    private static final long PAID_TOKENS = 1_000_000;
    private static final long REQUEST_TOKENS = 8_000;
    private static final int WARM_UP_REQUESTS = 40;

    private final KeeperHarness keeper =
            new KeeperHarness(KEEPER, GrantPolicy.byShortTermDemand(9_000, 10_000), LIMITS);

    private long sinceHeartbeatMillis;

    RisingLimitTest() {
        keeper.appendAsOperator(new BudgetFunded(KeeperHarness.BUDGET, PAID_TOKENS));
        keeper.receive(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        for (int number = 1; number <= WARM_UP_REQUESTS; number++) {
            reserve(number);
            GrantKey grant = GrantKey.of(KeeperHarness.BUDGET, KEEPER);
            Usage usage = Usage.of(KeeperHarness.key(number), REQUEST_TOKENS / 2);
            keeper.receive(new KeeperInput.UsageSubmitted(KeeperHarness.ROUTER, grant, usage));
            keeper.advance(100);
        }
        keeper.dropAppends();
    }

    @Test
    void aRequestIsServedAtTheEndOfItsWaitIfTheLimitHasRisenToIt() {
        long waiting = spendUpToTheLimit();
        advance(LIMITS.reserveWaitMillis());
        assertThat(isGranted(waiting)).isTrue();
    }

    @Test
    void aRequestIsRefusedAtTheEndOfItsWaitIfTheLimitIsStillBelowIt() {
        long waiting = spendUpToTheLimit();
        reserve(waiting + 1);
        reserve(waiting + 2);
        reserve(waiting + 3);
        advance(LIMITS.reserveWaitMillis());
        assertThat(isGranted(waiting + 3)).isFalse();
        assertThat(keeper.outputs(ReserveRefused.class))
                .anyMatch(refusal -> refusal.key().equals(KeeperHarness.key(waiting + 3)));
    }

    @Test
    void whatIsServedSoStaysWithinTheLimitOfTheLastHeartbeatInTheLog() {
        HolderRow row = keeper.world.ledger().holders().find(KEEPER).orElseThrow();
        long waiting = spendUpToTheLimit();
        for (int number = 1; number <= 10; number++) {
            advance(LIMITS.reserveWaitMillis());
            reserve(waiting + number);
            assertThat(keeper.world.spentTokens(KeeperHarness.BUDGET))
                    .isLessThanOrEqualTo(
                            row.spentTokensAt(
                                    KeeperHarness.BUDGET,
                                    row.stampMillis() + sinceHeartbeatMillis));
        }
    }

    /** Returns the number of the first request that isn't granted at once. */
    private long spendUpToTheLimit() {
        long number = WARM_UP_REQUESTS;
        do {
            number++;
            reserve(number);
        } while (isGranted(number));
        return number;
    }

    private void advance(long millis) {
        sinceHeartbeatMillis += millis;
        keeper.advance(millis);
    }

    private void reserve(long number) {
        keeper.reserve(KeeperHarness.ROUTER, KeeperHarness.key(number), REQUEST_TOKENS);
    }

    private boolean isGranted(long number) {
        return keeper.outputs(ReserveGranted.class).stream()
                .anyMatch(granted -> granted.key().equals(KeeperHarness.key(number)));
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against RECOVER: after losses of power, requests were refused with BUDGET_UNAVAILABLE,
 * since what dead holders had held stayed frozen, far more than they can have used.
 */
class SuccessiveLossesTest {
    private static final int ZONES = 3;
    private static final int VMS_PER_ZONE = 3;
    private static final int REQUESTS_PER_SECOND = 100;
    private static final int LOSSES = 3;
    private static final long BETWEEN_LOSSES_MILLIS = 8_000;

    /** A request is answered in 1.5 s, a heartbeat follows the one before within 1 s. */
    private static final long IN_FLIGHT_MILLIS = 2_500;

    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 10_000})
    void eachLossFreezesAtMostTwiceWhatRequestsCanHaveUsedUntilTheReturn(long darkMillis) {
        KeeperFleet fleet = new KeeperFleet(ZONES, VMS_PER_ZONE, true, this::holdersFirst);
        fleet.run(BETWEEN_LOSSES_MILLIS, REQUESTS_PER_SECOND);
        for (int loss = 0; loss < LOSSES; loss++) {
            fleet.losePower(darkMillis);
            fleet.run(BETWEEN_LOSSES_MILLIS, REQUESTS_PER_SECOND);
        }
        double usableShare =
                KeeperFleet.demandedShare(IN_FLIGHT_MILLIS + darkMillis, REQUESTS_PER_SECOND);
        assertThat(fleet.frozenShare()).isLessThanOrEqualTo(2 * LOSSES * usableShare);
        assertThat(fleet.largestSpentShare()).isLessThanOrEqualTo(1);
    }

    private List<String> holdersFirst(KeeperFleet fleet, VmRow vm, BudgetId budget) {
        HolderSelection holders = HolderSelection.among(fleet.vms());
        return Rendezvous.order(budget.value(), holders.holdersOf(vm.zone()));
    }
}

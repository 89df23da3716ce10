package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Answers the pattern "all VMs of a large fleet are cut off from the store under a steady load":
 * the budgets have tokens, and the question is whether those who need them can find them.
 */
class StoreCutLoadTest {
    private static final int ZONES = 5;
    private static final int VMS_PER_ZONE = 19;
    private static final int REQUESTS_PER_SECOND = 220;
    private static final long WARM_UP_MILLIS = 6_000;
    private static final long CUT_MILLIS = 8_000;

    @Test
    void underThreeInAHundredRequestsAreRefusedWhileEachBudgetHasAHolderInEachZone() {
        KeeperFleet fleet = new KeeperFleet(ZONES, VMS_PER_ZONE, true, this::holdersFirst);
        cutOff(fleet);
        assertThat(fleet.refusedShare()).isLessThan(0.03);
        assertThat(fleet.questionsPerRequest()).isLessThan(1.5);
        assertThat(fleet.largestSpentShare()).isLessThanOrEqualTo(1);
    }

    @Test
    void theNumberOfPartsOfABudgetDoesNotGrowWithTheNumberOfVms() {
        for (int vmsPerZone : List.of(VMS_PER_ZONE, 2 * VMS_PER_ZONE)) {
            KeeperFleet fleet = new KeeperFleet(ZONES, vmsPerZone, true, this::holdersFirst);
            fleet.run(WARM_UP_MILLIS, REQUESTS_PER_SECOND);
            for (int budget = 0; budget < KeeperFleet.BUDGETS; budget++) {
                assertThat(fleet.partsOf(budget)).isLessThanOrEqualTo(2 * ZONES);
            }
        }
    }

    /** The arrangement before: shows that the load above is one that it can't carry. */
    @Test
    void moreThanThatAreRefusedWhileEveryVmHoldsAPartOfEachBudget() {
        KeeperFleet fleet = new KeeperFleet(ZONES, VMS_PER_ZONE, false, this::localFirst);
        cutOff(fleet);
        assertThat(fleet.refusedShare()).isGreaterThan(0.03);
    }

    private static void cutOff(KeeperFleet fleet) {
        fleet.run(WARM_UP_MILLIS, REQUESTS_PER_SECOND);
        fleet.resetCounts();
        fleet.setLogReachable(false);
        fleet.run(CUT_MILLIS, REQUESTS_PER_SECOND);
    }

    private List<String> holdersFirst(KeeperFleet fleet, VmRow vm, BudgetId budget) {
        HolderSelection holders = HolderSelection.among(fleet.vms());
        List<String> asked = new ArrayList<>();
        asked.addAll(Rendezvous.order(budget.value(), holders.holdersOf(vm.zone())));
        holders.zones().stream()
                .map(zone -> Rendezvous.order(budget.value(), holders.holdersOf(zone)).get(0))
                .forEach(asked::add);
        return asked.stream().distinct().toList();
    }

    private List<String> localFirst(KeeperFleet fleet, VmRow vm, BudgetId budget) {
        List<String> asked = new ArrayList<>(List.of(vm.vm()));
        fleet.vms().stream().map(VmRow::vm).limit(8).forEach(asked::add);
        return asked.stream().distinct().toList();
    }
}

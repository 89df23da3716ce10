package org.bramleylatch.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Describes a deployment under load and a cut.
 *
 * @param zoneWeights how much of the demand each availability zone has, in parts
 * @param budgetWeights how much of the demand each budget has, in parts
 * @param requestsPerSecond the arrivals over all zones
 * @param partitionDemandFactor how much more the cut zone wants during the cut
 */
record GrantScenario(
        String name,
        Map<String, Integer> zoneWeights,
        List<Integer> budgetWeights,
        double requestsPerSecond,
        double partitionDemandFactor) {

    /** Returns the scenarios that the policies are measured on. */
    static List<GrantScenario> all() {
        Map<String, Integer> sisalwerk =
                new TreeMap<>(Map.of("langnau", 5, "burgdorf", 3, "huttwil", 2));
        Map<String, Integer> shannonside =
                new TreeMap<>(Map.of("ie-a", 4, "ie-b", 3, "ie-c", 2, "ie-d", 1));
        List<Integer> gradedBudgets = List.of(30, 20, 15, 10, 8, 6, 5, 3, 2, 1);
        List<Integer> dominatedBudgets = List.of(70, 10, 5, 4, 3, 2, 2, 2, 1, 1);
        return List.of(
                new GrantScenario("sisalwerk", sisalwerk, gradedBudgets, 1.0, 1.0),
                new GrantScenario("shannonside", shannonside, gradedBudgets, 1.5, 1.0),
                new GrantScenario("skewed", sisalwerk, dominatedBudgets, 1.0, 1.5));
    }
}

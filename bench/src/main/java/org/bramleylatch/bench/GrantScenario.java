package org.bramleylatch.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Describes the demand on a deployment in which one zone is cut off from the log for an hour.
 *
 * @param zoneWeights the relative demand of each availability zone
 * @param budgetWeights the relative demand on each budget
 * @param requestsPerSecond the mean number of requests per second over all zones
 * @param partitionDemandFactor the factor, from 1 to 2, by which the demand of the zone that is cut
 *     off rises meanwhile
 */
record GrantScenario(
        String name,
        Map<String, Integer> zoneWeights,
        List<Integer> budgetWeights,
        double requestsPerSecond,
        double partitionDemandFactor) {

    /**
     * Returns the scenarios in which the policies are compared: a deployment with three zones, one
     * with four, and the first again with one budget that has 70% of the demand and with half as
     * much demand again in the zone that is cut off.
     */
    static List<GrantScenario> all() {
        Map<String, Integer> sisalwerk =
                new TreeMap<>(Map.of("langnau", 5, "burgdorf", 3, "huttwil", 2));
        Map<String, Integer> shannonside =
                new TreeMap<>(Map.of("ie-a", 4, "ie-b", 3, "ie-c", 2, "ie-d", 1));
        List<Integer> gradedBudgetWeights = List.of(30, 20, 15, 10, 8, 6, 5, 3, 2, 1);
        List<Integer> dominatedBudgetWeights = List.of(70, 10, 5, 4, 3, 2, 2, 2, 1, 1);
        return List.of(
                new GrantScenario("sisalwerk", sisalwerk, gradedBudgetWeights, 1.0, 1.0),
                new GrantScenario("shannonside", shannonside, gradedBudgetWeights, 1.5, 1.0),
                new GrantScenario("skewed", sisalwerk, dominatedBudgetWeights, 1.0, 1.5));
    }
}

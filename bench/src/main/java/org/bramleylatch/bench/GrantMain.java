package org.bramleylatch.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import org.bramleylatch.core.GrantPolicy;

/** Compares the policies for grant sizes by simulation in virtual time, with fixed seeds. */
public final class GrantMain {
    private static final long[] SEEDS = {1, 2, 3};
    private static final double HORIZON_HOURS = 2;
    private static final long SMALLEST_GRANT_TOKENS = 4_000;
    private static final double SIMULATED_SECONDS = 3 * 3_600;

    private GrantMain() {}

    /** Simulates every scenario with every policy and prints a row for each seed. */
    public static void main(String[] arguments) {
        System.out.println(
                "false refusals for each 10,000 requests: calm, with under 5% left, while a zone is"
                        + " cut off, and after a keeper was killed");
        System.out.println(
                "scenario     policy        seed requests   calm scarce    cut killed   true"
                        + " overspent  stranded appends/s bytes/s");
        GrantScenario.all().forEach(GrantMain::runScenario);
    }

    private static void runScenario(GrantScenario scenario) {
        Map<String, GrantPolicy> policies = new LinkedHashMap<>();
        policies.put("by demand", GrantPolicy.byDemand(HORIZON_HOURS, SMALLEST_GRANT_TOKENS));
        policies.put("equal split", GrantPolicy.equalSplit(scenario.zoneWeights().size()));
        policies.put("by request", GrantPolicy.perRequest());
        policies.forEach((name, policy) -> run(scenario, name, policy));
    }

    private static void run(GrantScenario scenario, String name, GrantPolicy policy) {
        for (long seed : SEEDS) {
            GrantResult result = new GrantSimulation(scenario, policy, seed).run();
            double perTenThousand = 10_000.0 / result.requests();
            System.out.printf(
                    "%-12s %-13s %4d %8d %6.1f %6.1f %6.1f %6.1f %6d %9d %9d %9.2f %7.0f%n",
                    scenario.name(),
                    name,
                    seed,
                    result.requests(),
                    result.falseRefusalsAmple() * perTenThousand,
                    result.falseRefusalsScarce() * perTenThousand,
                    result.falseRefusalsPartitioned() * perTenThousand,
                    result.falseRefusalsAfterKill() * perTenThousand,
                    result.trueRefusals(),
                    result.maxOverspentTokens(),
                    result.strandedTokens(),
                    result.appendCount() / SIMULATED_SECONDS,
                    result.appendedBytes() / SIMULATED_SECONDS);
        }
    }
}

package org.bramleylatch.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import org.bramleylatch.core.GrantPolicy;

/** Measures the policies for grant sizes side by side, in virtual time, with fixed seeds. */
public final class GrantMain {
    private static final long[] SEEDS = {1, 2, 3};
    private static final double HORIZON_HOURS = 2;
    private static final long SMALLEST_TOKENS = 4_000;
    private static final double SECONDS = 3 * 3_600;

    private GrantMain() {}

    /** Runs every scenario with every policy. */
    public static void main(String[] arguments) {
        System.out.println(
                "false refusals for each 10,000 requests: calm, with under 5% left, in the cut, and"
                        + " after a kill");
        System.out.println(
                "scenario     policy        seed requests   calm scarce    cut killed   true"
                        + " overspent  stranded appends/s bytes/s");
        GrantScenario.all().forEach(GrantMain::runAll);
    }

    private static void runAll(GrantScenario scenario) {
        Map<String, GrantPolicy> policies = new LinkedHashMap<>();
        policies.put("by demand", GrantPolicy.byDemand(HORIZON_HOURS, SMALLEST_TOKENS));
        policies.put("equal split", GrantPolicy.equalSplit(scenario.zones().size()));
        policies.put("by request", GrantPolicy.perRequest());
        policies.forEach((name, policy) -> run(scenario, name, policy));
    }

    private static void run(GrantScenario scenario, String name, GrantPolicy policy) {
        for (long seed : SEEDS) {
            GrantResult result = new GrantRun(scenario, policy, seed).run();
            double per10k = 10_000.0 / result.requests();
            System.out.printf(
                    "%-12s %-13s %4d %8d %6.1f %6.1f %6.1f %6.1f %6d %9d %9d %9.2f %7.0f%n",
                    scenario.name(),
                    name,
                    seed,
                    result.requests(),
                    result.falseCalm() * per10k,
                    result.falseScarce() * per10k,
                    result.falseCut() * per10k,
                    result.falseKilled() * per10k,
                    result.trueRefusals(),
                    result.overspentTokens(),
                    result.strandedTokens(),
                    result.appends() / SECONDS,
                    result.bytes() / SECONDS);
        }
    }
}

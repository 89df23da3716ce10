package org.bramleylatch.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.bramleylatch.bench.MoveSimulation.Answer;

/** Simulates planned moves in seven scenarios, with 200 seeds each, in virtual time. */
public final class MoveMain {
    private static final int RUNS = 200;
    private static final long LATE_FAILURE_MILLIS = 60_000;
    private static final int FAILING_SHARE_PERMILLE = 200;
    private static final double PERCENT = 100;

    private MoveMain() {}

    /**
     * Simulates every scenario and prints a row for each. "Right end" is the share of runs in which
     * both moves ended as the scenario expects; "after shown" counts the bad requests that a router
     * sent to the new version after its own attempts had shown that version to be bad.
     */
    public static void main(String[] arguments) {
        System.out.println(
                "kind           runs  right end  bad requests: mean   most"
                        + "  after shown, most per router  ended after");
        Map<String, Scenario> scenarios = scenarios();
        scenarios.forEach(MoveMain::run);
    }

    private static Map<String, Scenario> scenarios() {
        Predicate<MoveSimulation.Result> bothDone =
                result -> result.firstRouteDone() && result.secondRouteDone();
        Predicate<MoveSimulation.Result> bothTakenBack =
                result -> !result.firstRouteDone() && !result.secondRouteDone();
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        scenarios.put(
                "good",
                new Scenario((t, route, share, random) -> Answer.ofOldVersion(random), bothDone));
        scenarios.put(
                "good, noisy",
                new Scenario((t, route, share, random) -> Answer.failing(0.025, random), bothDone));
        scenarios.put(
                "fails at once",
                new Scenario(
                        (t, route, share, random) -> Answer.failing(0.5, random), bothTakenBack));
        scenarios.put(
                "fails late",
                new Scenario(
                        (t, route, share, random) ->
                                Answer.failing(t > LATE_FAILURE_MILLIS ? 0.5 : 0.01, random),
                        bothTakenBack));
        scenarios.put(
                "under load",
                new Scenario(
                        (t, route, share, random) ->
                                Answer.failing(
                                        share >= FAILING_SHARE_PERMILLE ? 0.5 : 0.01, random),
                        bothTakenBack));
        scenarios.put(
                "slow",
                new Scenario((t, route, share, random) -> Answer.slow(random), bothTakenBack));
        scenarios.put(
                "bad on one",
                new Scenario(
                        (t, route, share, random) ->
                                Answer.failing(route == 1 ? 0.5 : 0.01, random),
                        result -> result.firstRouteDone() && !result.secondRouteDone()));
        return scenarios;
    }

    private static void run(String name, Scenario scenario) {
        int expectedCount = 0;
        double badShareSum = 0;
        double maxBadShare = 0;
        long maxBadAfterStop = 0;
        long totalMillis = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            MoveSimulation.Result result = new MoveSimulation(scenario.behaviour, seed).run();
            expectedCount += scenario.isExpectedOutcome.test(result) ? 1 : 0;
            badShareSum += result.badShare();
            maxBadShare = Math.max(maxBadShare, result.badShare());
            maxBadAfterStop = Math.max(maxBadAfterStop, result.maxBadAfterStop());
            totalMillis += result.durationMillis();
        }
        System.out.printf(
                "%-14s %4d %8.1f%% %17.3f%% %6.3f%% %30d %10d s%n",
                name,
                RUNS,
                expectedCount * PERCENT / RUNS,
                badShareSum * PERCENT / RUNS,
                maxBadShare * PERCENT,
                maxBadAfterStop,
                totalMillis / RUNS / 1_000);
    }

    private record Scenario(
            MoveSimulation.Behaviour behaviour,
            Predicate<MoveSimulation.Result> isExpectedOutcome) {}
}

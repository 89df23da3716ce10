package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the processor time of a router and a keeper: while idle, at three request rates and with
 * three lengths of answers.
 */
public final class CpuMain {
    private static final long PAID_TOKENS = 1_000_000_000_000L;
    private static final double[] REQUESTS_PER_SECOND = {20, 40, 80};
    private static final int[] MAX_ANSWER_TOKENS = {50, 100, 200};
    private static final int LOAD_SECONDS = 12;
    private static final int WARM_UP_SECONDS = 15;
    private static final int SHORT_ANSWER_TOKENS = 20;
    private static final int IDLE_SECONDS = 20;
    private static final double PERCENT = 100;
    private static final double MICROS_PER_SECOND = 1e6;

    private final Vertx vertx = Vertx.vertx();
    private final Deployment deployment;

    private CpuMain(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Runs the measurement; the only argument names the folder for its files. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        try (Deployment deployment =
                Deployment.in(folder, List.of("-Xmx256m", "-XX:+UseSerialGC"))) {
            deployment
                    .startEngine("engine", "langnau", "v1", "--memory-tokens", "100000000")
                    .setListedEngineMemory("engine", 100_000_000)
                    .startOneEntryVm(PAID_TOKENS);
            new CpuMain(deployment).run();
        }
        System.exit(0);
    }

    private void run() {
        measureLoad(REQUESTS_PER_SECOND[2], SHORT_ANSWER_TOKENS, WARM_UP_SECONDS);
        printIdleCpu();
        List<LinearFit.Point> routerCosts = new ArrayList<>();
        List<LinearFit.Point> keeperCosts = new ArrayList<>();
        for (double rate : REQUESTS_PER_SECOND) {
            CpuCost cost = measureLoad(rate, SHORT_ANSWER_TOKENS, LOAD_SECONDS);
            routerCosts.add(new LinearFit.Point(cost.requestCount, cost.routerMicros));
            keeperCosts.add(new LinearFit.Point(cost.requestCount, cost.keeperMicros));
        }
        printFit("router, us a request of about 15 tokens", routerCosts);
        printFit("keeper, us a request", keeperCosts);
        List<LinearFit.Point> routerCostsByTokens = new ArrayList<>();
        for (int tokens : MAX_ANSWER_TOKENS) {
            CpuCost cost = measureLoad(REQUESTS_PER_SECOND[0], tokens, LOAD_SECONDS);
            routerCostsByTokens.add(new LinearFit.Point(cost.tokenCount, cost.routerMicros));
        }
        printFit("router, us a token", routerCostsByTokens);
    }

    private void printIdleCpu() {
        double routerBefore = cpuSeconds("router");
        double keeperBefore = cpuSeconds("keeper");
        Await.sleep(IDLE_SECONDS * 1_000);
        System.out.printf(
                "idle: router %.2f%% of a core, keeper %.2f%% of a core%n",
                (cpuSeconds("router") - routerBefore) * PERCENT / IDLE_SECONDS,
                (cpuSeconds("keeper") - keeperBefore) * PERCENT / IDLE_SECONDS);
    }

    private CpuCost measureLoad(double requestsPerSecond, int maxAnswerTokens, int seconds) {
        double routerBefore = cpuSeconds("router");
        double keeperBefore = cpuSeconds("keeper");
        LoadReport report =
                new LoadRun(
                                vertx,
                                deployment.address("router"),
                                Deployment.MEMBER_KEY,
                                new LoadPlan(requestsPerSecond, seconds, 2, maxAnswerTokens, 1))
                        .run();
        if (report.whole() != report.sent()) {
            System.out.println("not all answers complete: " + report);
        }
        return new CpuCost(
                report.sent(),
                report.tokens(),
                (cpuSeconds("router") - routerBefore) * MICROS_PER_SECOND,
                (cpuSeconds("keeper") - keeperBefore) * MICROS_PER_SECOND);
    }

    private double cpuSeconds(String name) {
        return deployment
                .client(name)
                .get("/metrics")
                .body()
                .lines()
                .filter(line -> line.startsWith("process_cpu_seconds_total"))
                .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElseThrow();
    }

    private static void printFit(String name, List<LinearFit.Point> points) {
        LinearFit fit = LinearFit.of(points);
        System.out.printf(
                "%-42s %.0f each, %.0f fixed, residual %.1f%%  %s%n",
                name, fit.slope(), fit.intercept(), fit.relativeResidual() * 100, points);
    }

    private record CpuCost(
            double requestCount, double tokenCount, double routerMicros, double keeperMicros) {}
}

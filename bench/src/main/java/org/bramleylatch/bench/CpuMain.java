package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the processor time of a router and a keeper under load, at three rates and three lengths
 * of answers, and with the time line off.
 */
public final class CpuMain {
    private static final long PAID_TOKENS = 1_000_000_000_000L;
    private static final double[] RATES = {20, 40, 80};
    private static final int[] LENGTHS = {50, 100, 200};
    private static final int SECONDS = 12;
    private static final int WARM_UP_SECONDS = 15;
    private static final int TOKENS = 20;
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
                    .withEngine("engine", "langnau", "v1", "--memory-tokens", "100000000")
                    .withMemory("engine", 100_000_000)
                    .withOneEntryVm(PAID_TOKENS);
            new CpuMain(deployment).run();
        }
        System.exit(0);
    }

    private void run() {
        load(RATES[2], TOKENS, WARM_UP_SECONDS);
        idle();
        List<Fit.Point> router = new ArrayList<>();
        List<Fit.Point> keeper = new ArrayList<>();
        for (double rate : RATES) {
            Cost cost = load(rate, TOKENS, SECONDS);
            router.add(new Fit.Point(cost.requests, cost.routerMicros));
            keeper.add(new Fit.Point(cost.requests, cost.keeperMicros));
        }
        print("router, us a request of about 15 tokens", router);
        print("keeper, us a request", keeper);
        List<Fit.Point> length = new ArrayList<>();
        for (int tokens : LENGTHS) {
            Cost cost = load(RATES[0], tokens, SECONDS);
            length.add(new Fit.Point(cost.tokens, cost.routerMicros));
        }
        print("router, us a token", length);
    }

    private void idle() {
        double router = cpuSeconds("router");
        double keeper = cpuSeconds("keeper");
        Await.quietly(IDLE_SECONDS * 1_000);
        System.out.printf(
                "idle: router %.2f%% of a core, keeper %.2f%% of a core%n",
                (cpuSeconds("router") - router) * PERCENT / IDLE_SECONDS,
                (cpuSeconds("keeper") - keeper) * PERCENT / IDLE_SECONDS);
    }

    private Cost load(double rate, int tokens, int seconds) {
        double routerBefore = cpuSeconds("router");
        double keeperBefore = cpuSeconds("keeper");
        LoadReport report =
                new LoadRun(
                                vertx,
                                deployment.address("router"),
                                Deployment.MEMBER_KEY,
                                new LoadPlan(rate, seconds, 2, tokens, 1))
                        .run();
        if (report.whole() != report.sent()) {
            System.out.println("not all whole: " + report);
        }
        return new Cost(
                report.sent(),
                report.tokens(),
                (cpuSeconds("router") - routerBefore) * MICROS_PER_SECOND,
                (cpuSeconds("keeper") - keeperBefore) * MICROS_PER_SECOND);
    }

    private double cpuSeconds(String name) {
        return deployment
                .caller(name)
                .get("/metrics")
                .body()
                .lines()
                .filter(line -> line.startsWith("process_cpu_seconds_total"))
                .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElseThrow();
    }

    private static void print(String name, List<Fit.Point> points) {
        Fit fit = Fit.of(points);
        System.out.printf(
                "%-42s %.0f each, %.0f fixed, residual %.1f%%  %s%n",
                name, fit.slope(), fit.base(), fit.residual() * 100, points);
    }

    private record Cost(double requests, double tokens, double routerMicros, double keeperMicros) {}
}

package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.platform.LoopbackPlatform;

/**
 * Measures what a gateway costs its VM: processor time while idle, for each peer, for each request
 * and for each event of a stream; with the argument {@code cold}, the processor time by thread from
 * the start of one gateway on, without a warm-up. The gateways run as processes with the flags of
 * the deploy file; store, endpoints and callers run in this process.
 */
public final class GatewayCostMain {
    private static final int CALLER_PORT_BASE = 21_000;
    private static final int PORTS_PER_GATEWAY = 3;
    private static final int WARM_UP_REQUESTS = 400;
    private static final int REQUESTS = 1_000;
    private static final int CONCURRENT = 2;
    private static final int ZONES = 5;
    private static final int START_SECONDS = 4;
    private static final int IDLE_SECONDS = 10;
    private static final int[] PEERS = {1, 3, 6};

    /** At most 66, as the stand-in's requests have a maximum of 200 tokens, and 3 an event. */
    private static final int[] EVENTS = {3, 33, 66};

    private static final int COLD_START_SECONDS = 15;
    private static final int COLD_SPANS = 3;
    private static final int COLD_REQUESTS_PER_SPAN = 75;
    private static final long COLD_INTERVAL_NANOS = 133_000_000;
    private static final List<String> COLD_PATHS =
            List.of("/orders/1", "/chat/7", "/chat/42", "/chat/7");
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    private final LoopbackPlatform platform;
    private final Path folder;
    private final List<Process> gateways = new ArrayList<>();

    private GatewayCostMain(LoopbackPlatform platform, Path folder) {
        this.platform = platform;
        this.folder = folder;
    }

    /** Runs the measurement; the arguments are the folder for its files and its mode, if any. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        Vertx vertx = Vertx.vertx();
        GatewayCostMain measurement =
                new GatewayCostMain(LoopbackPlatform.start(vertx).join(), folder);
        try {
            if (arguments.length > 1 && arguments[1].equals("cold")) {
                measurement.runCold();
            } else {
                measurement.run();
            }
        } finally {
            measurement.stopGateways();
            // Its threads would keep the process alive after a failure.
            vertx.close();
        }
    }

    /** Waits for the end of the processes, which keep their ports until then. */
    private void stopGateways() throws InterruptedException {
        gateways.forEach(Process::destroy);
        for (Process gateway : gateways) {
            gateway.waitFor();
        }
    }

    private void run() throws IOException, InterruptedException {
        List<LinearFit.Point> idleCosts = new ArrayList<>();
        for (int peers : PEERS) {
            while (gateways.size() < peers) {
                gateways.add(start(gateways.size()));
            }
            TimeUnit.SECONDS.sleep(START_SECONDS + peers / 2);
            idleCosts.add(new LinearFit.Point(peers, idleMicrosPerSecond()));
        }
        print("idle, us a second and gateway of the fleet", idleCosts);
        load("/orders/1", WARM_UP_REQUESTS);
        for (int events : EVENTS) {
            load("/chat/" + events, WARM_UP_REQUESTS / 2);
        }
        System.out.printf("request without events: %.0f us%n", load("/orders/1", REQUESTS));
        List<LinearFit.Point> eventCosts = new ArrayList<>();
        for (int events : EVENTS) {
            eventCosts.add(new LinearFit.Point(events, load("/chat/" + events, REQUESTS)));
        }
        print("stream, us an event", eventCosts);
    }

    private void runCold() throws IOException, InterruptedException {
        gateways.add(start(0));
        ThreadCosts costs = ThreadCosts.of(gateways.get(0).pid());
        TimeUnit.SECONDS.sleep(COLD_START_SECONDS);
        costs.printSpan("start", COLD_START_SECONDS);
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        costs.printSpan("idle", IDLE_SECONDS);
        for (int span = 0; span < COLD_SPANS; span++) {
            double seconds = sendSteadily();
            int first = span * COLD_REQUESTS_PER_SPAN + 1;
            costs.printSpan(
                    "requests " + first + " to " + (first + COLD_REQUESTS_PER_SPAN - 1), seconds);
        }
    }

    /** Sends requests at an even rate, and returns how long it took in seconds. */
    private double sendSteadily() throws InterruptedException {
        long start = System.nanoTime();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (int sent = 0; sent < COLD_REQUESTS_PER_SPAN; sent++) {
            String path = COLD_PATHS.get(sent % COLD_PATHS.size());
            answers.add(
                    platform.sendCallerRequest(CALLER_PORT_BASE, path)
                            .thenAccept(status -> requireSuccess(path, status)));
            long waitNanos = start + (sent + 1) * COLD_INTERVAL_NANOS - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, waitNanos));
        }
        answers.forEach(CompletableFuture::join);
        return (System.nanoTime() - start) / NANOS_PER_SECOND;
    }

    private double idleMicrosPerSecond() throws IOException, InterruptedException {
        double before = cpuSeconds();
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        double perSecond = (cpuSeconds() - before) / IDLE_SECONDS;
        System.out.printf(
                "idle with %d gateways: %.2f%% of a core%n", gateways.size(), perSecond * PERCENT);
        return perSecond * MICROS_PER_SECOND;
    }

    /** Sends requests to the first gateway and returns its cost of one in microseconds. */
    private double load(String path, int requests) throws IOException {
        double before = cpuSeconds();
        for (int sent = 0; sent < requests; sent += CONCURRENT) {
            List<CompletableFuture<Integer>> answers = new ArrayList<>();
            for (int index = 0; index < CONCURRENT; index++) {
                answers.add(platform.sendCallerRequest(CALLER_PORT_BASE, path));
            }
            answers.forEach(answer -> requireSuccess(path, answer.join()));
        }
        return (cpuSeconds() - before) / requests * MICROS_PER_SECOND;
    }

    private static void requireSuccess(String path, int status) {
        if (status != 200) {
            throw new IllegalStateException(path + " was answered " + status);
        }
    }

    /** Returns the processor time of the first gateway, in seconds. */
    private double cpuSeconds() throws IOException {
        return gateways.get(0)
                .info()
                .totalCpuDuration()
                .map(duration -> duration.toMillis() / 1_000.0)
                .orElseThrow(() -> new IOException("processor time of the gateway is unknown"));
    }

    private Process start(int index) throws IOException {
        int port = CALLER_PORT_BASE + index * PORTS_PER_GATEWAY;
        Path boot = folder.resolve("boot-" + index + ".json");
        Files.writeString(boot, platform.bootFile("front-" + index, "zone-" + index % ZONES, port));
        String[] command = deployCommand();
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectOutput(folder.resolve("gateway-" + index + ".log").toFile())
                        .redirectErrorStream(true);
        builder.environment().put("BRAMLEYLATCH_BOOT", boot.toString());
        return builder.start();
    }

    private static String[] deployCommand() throws IOException {
        return Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow()
                .split(" ");
    }

    private static void print(String name, List<LinearFit.Point> points) {
        LinearFit fit = LinearFit.of(points);
        System.out.printf(
                "%-42s %.0f each, %.0f fixed, residual %.1f%%  %s%n",
                name, fit.slope(), fit.intercept(), fit.relativeResidual() * PERCENT, points);
    }
}

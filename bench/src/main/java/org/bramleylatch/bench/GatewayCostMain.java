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
 * and for each event of a stream. The gateways run as processes with the flags of the deploy file;
 * store, endpoints and callers run in this process.
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
    private static final int[] EVENTS = {3, 50, 100};
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double PERCENT = 100;

    private final LoopbackPlatform platform;
    private final Path folder;
    private final List<Process> gateways = new ArrayList<>();

    private GatewayCostMain(LoopbackPlatform platform, Path folder) {
        this.platform = platform;
        this.folder = folder;
    }

    /** Runs the measurement; the only argument names the folder for its files. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        LoopbackPlatform platform = LoopbackPlatform.start(Vertx.vertx()).join();
        GatewayCostMain measurement = new GatewayCostMain(platform, folder);
        try {
            measurement.run();
        } finally {
            measurement.gateways.forEach(Process::destroy);
        }
        System.exit(0);
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

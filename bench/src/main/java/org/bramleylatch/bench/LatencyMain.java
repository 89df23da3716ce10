package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.bramleylatch.wire.Address;

/**
 * Measures the latency that a router adds to an engine: the time to the first token and the time
 * between tokens, for requests sent alternately through the router and to the engine directly.
 */
public final class LatencyMain {
    private static final int WARM_UP_REQUESTS = 200;
    private static final LoadPlan WARM_UP_LOAD = new LoadPlan(200, 40, 4, 8, 1);
    private static final int REQUESTS = 1_000;
    private static final long PAID_TOKENS = 1_000_000_000L;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final String CHAT = RequestBodies.chat(4, 8, true);

    private final Vertx vertx = Vertx.vertx();
    private final SseClient client = new SseClient(vertx);

    private LatencyMain() {}

    /** Runs the measurement; the only argument names the folder for its files. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        List<String> options = List.of("-Xmx256m", "-XX:+UseSerialGC");
        try (Deployment deployment = Deployment.in(folder, options)) {
            deployment
                    .startEngine("engine", "langnau", "v1", "--step-millis", "2")
                    .startOneEntryVm(PAID_TOKENS);
            new LatencyMain().run(deployment);
        }
        System.exit(0);
    }

    private void run(Deployment deployment) {
        Map<String, String> memberHeaders =
                Map.of("authorization", "Bearer " + Deployment.MEMBER_KEY);
        MeasuredPath direct = new MeasuredPath("direct", deployment.address("engine"), Map.of());
        MeasuredPath routed =
                new MeasuredPath("through the router", deployment.address("router"), memberHeaders);
        warmUp(deployment);
        for (int number = 0; number < WARM_UP_REQUESTS; number++) {
            direct.measure();
            routed.measure();
        }
        direct.reset();
        routed.reset();
        for (int number = 0; number < REQUESTS; number++) {
            direct.measure();
            routed.measure();
        }
        direct.print();
        routed.print();
        measureHealthChecks(deployment.address("router"));
    }

    /** Loads the router until the JIT has compiled its code, as after minutes in production. */
    private void warmUp(Deployment deployment) {
        LoadReport report =
                new LoadRun(
                                vertx,
                                deployment.address("router"),
                                Deployment.MEMBER_KEY,
                                WARM_UP_LOAD)
                        .run();
        System.out.println("warm-up: " + report);
    }

    /** Prints the latency of a health check of the idle router on this machine, for comparison. */
    private void measureHealthChecks(Address target) {
        Histogram roundTrips = new Histogram(3);
        for (int number = 0; number < REQUESTS; number++) {
            long sentNanos = System.nanoTime();
            client.get(target, "/healthz").join();
            roundTrips.recordValue(System.nanoTime() - sentNanos);
        }
        System.out.printf(
                "one exchange         p50 %.0f us p95 %.0f us%n",
                roundTrips.getValueAtPercentile(50) / NANOS_PER_MICRO,
                roundTrips.getValueAtPercentile(95) / NANOS_PER_MICRO);
    }

    /** Measures requests to one address, with histograms in nanoseconds. */
    private final class MeasuredPath {
        private final String name;
        private final Address target;
        private final Map<String, String> headers;
        private final Histogram firstToken = new Histogram(3);
        private final Histogram betweenTokens = new Histogram(3);

        MeasuredPath(String name, Address target, Map<String, String> headers) {
            this.name = name;
            this.target = target;
            this.headers = headers;
        }

        void measure() {
            long sentNanos = System.nanoTime();
            AtomicLong lastNanos = new AtomicLong();
            SseClient.Outcome outcome =
                    client.chat(
                                    target,
                                    headers,
                                    CHAT,
                                    nowNanos -> recordToken(sentNanos, lastNanos, nowNanos))
                            .join();
            if (outcome.status() != 200 || !outcome.isComplete()) {
                throw new IllegalStateException(name + ": chat not complete: " + outcome);
            }
        }

        void reset() {
            firstToken.reset();
            betweenTokens.reset();
        }

        void print() {
            System.out.printf(
                    "%-20s first token p50 %.0f us p95 %.0f us; between tokens p50 %.0f us"
                            + " p95 %.0f us%n",
                    name,
                    firstToken.getValueAtPercentile(50) / NANOS_PER_MICRO,
                    firstToken.getValueAtPercentile(95) / NANOS_PER_MICRO,
                    betweenTokens.getValueAtPercentile(50) / NANOS_PER_MICRO,
                    betweenTokens.getValueAtPercentile(95) / NANOS_PER_MICRO);
        }

        private void recordToken(long sentNanos, AtomicLong lastNanos, long nowNanos) {
            long previousNanos = lastNanos.getAndSet(nowNanos);
            if (previousNanos == 0) {
                firstToken.recordValue(nowNanos - sentNanos);
            } else {
                betweenTokens.recordValue(nowNanos - previousNanos);
            }
        }
    }
}

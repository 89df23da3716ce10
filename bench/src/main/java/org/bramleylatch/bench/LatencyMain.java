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
 * Measures what a router adds to an engine: the time to the first token and the time between
 * tokens, through the router and directly, request by request in turn.
 */
public final class LatencyMain {
    private static final int WARM_UP = 200;
    private static final LoadPlan WARM_UP_LOAD = new LoadPlan(200, 40, 4, 8, 1);
    private static final int REQUESTS = 1_000;
    private static final long PAID_TOKENS = 1_000_000_000L;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final String CHAT = Documents.chat(4, 8, true);

    private final Vertx vertx = Vertx.vertx();
    private final SseClient client = new SseClient(vertx);

    private LatencyMain() {}

    /** Runs the measurement; the only argument names the folder for its files. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        List<String> options = List.of("-Xmx256m", "-XX:+UseSerialGC");
        try (Deployment deployment = Deployment.in(folder, options)) {
            deployment
                    .withEngine("engine", "langnau", "v1", "--step-millis", "2")
                    .withOneEntryVm(PAID_TOKENS);
            new LatencyMain().run(deployment);
        }
        System.exit(0);
    }

    private void run(Deployment deployment) {
        Map<String, String> key = Map.of("authorization", "Bearer " + Deployment.MEMBER_KEY);
        Series direct = new Series("direct", deployment.address("engine"), Map.of());
        Series routed = new Series("through the router", deployment.address("router"), key);
        warmUp(deployment);
        for (int number = 0; number < WARM_UP; number++) {
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
        ping(deployment.address("router"));
    }

    /** Runs the processes until their code is compiled, as it is after minutes of service. */
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

    /** Prints what one exchange with an idle process costs here, for comparison. */
    private void ping(Address to) {
        Histogram trips = new Histogram(3);
        for (int number = 0; number < REQUESTS; number++) {
            long sentNanos = System.nanoTime();
            client.get(to, "/healthz").join();
            trips.recordValue(System.nanoTime() - sentNanos);
        }
        System.out.printf(
                "one exchange         p50 %.0f us p95 %.0f us%n",
                trips.getValueAtPercentile(50) / NANOS_PER_MICRO,
                trips.getValueAtPercentile(95) / NANOS_PER_MICRO);
    }

    /** Is one way to the engine with its two histograms, in nanoseconds. */
    private final class Series {
        private final String name;
        private final Address to;
        private final Map<String, String> headers;
        private final Histogram first = new Histogram(3);
        private final Histogram between = new Histogram(3);

        Series(String name, Address to, Map<String, String> headers) {
            this.name = name;
            this.to = to;
            this.headers = headers;
        }

        void measure() {
            long sentNanos = System.nanoTime();
            AtomicLong lastNanos = new AtomicLong();
            SseClient.Outcome outcome =
                    client.chat(to, headers, CHAT, now -> note(sentNanos, lastNanos, now)).join();
            if (outcome.status() != 200 || !outcome.whole()) {
                throw new IllegalStateException(name + " ended as " + outcome);
            }
        }

        void reset() {
            first.reset();
            between.reset();
        }

        void print() {
            System.out.printf(
                    "%-20s first token p50 %.0f us p95 %.0f us; between tokens p50 %.0f us"
                            + " p95 %.0f us%n",
                    name,
                    first.getValueAtPercentile(50) / NANOS_PER_MICRO,
                    first.getValueAtPercentile(95) / NANOS_PER_MICRO,
                    between.getValueAtPercentile(50) / NANOS_PER_MICRO,
                    between.getValueAtPercentile(95) / NANOS_PER_MICRO);
        }

        private void note(long sentNanos, AtomicLong lastNanos, long nowNanos) {
            long before = lastNanos.getAndSet(nowNanos);
            if (before == 0) {
                first.recordValue(nowNanos - sentNanos);
            } else {
                between.recordValue(nowNanos - before);
            }
        }
    }
}

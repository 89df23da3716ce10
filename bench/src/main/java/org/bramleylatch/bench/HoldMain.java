package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.bramleylatch.wire.Address;

/**
 * Measures the memory of a router: its heap while it relays streams to callers that read, and to
 * slow readers, which here read nothing, and how the latter delay the tokens of fast readers.
 */
public final class HoldMain {
    private static final long PAID_TOKENS = 1_000_000_000_000L;
    private static final List<String> JVM_OPTIONS =
            new ArrayList<>(List.of("-Xmx256m", "-XX:+UseSerialGC"));
    private static final int[] STREAM_COUNTS = {0, 500, 1_000, 2_000};
    private static final int[] SLOW_READER_COUNTS = {0, 500, 2_000};
    private static final int FAST_READERS = 50;
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final int MAX_CONNECTIONS = 10_000;

    /** Streams time out after ten times this, so that none ends during a measurement. */
    private static final long OPEN_PERIOD_MILLIS = 60_000;

    /** Time for the buffers of slow readers to fill, and then for measuring the fast ones. */
    private static final long PHASE_MILLIS = 12_000;

    private static final double BYTES_PER_MIB = 1024 * 1024;
    private static final String LONG_CHAT = RequestBodies.chat(1, 100_000, true);

    private final HttpClient client =
            Vertx.vertx()
                    .createHttpClient(
                            new HttpClientOptions().setReceiveBufferSize(RECEIVE_BUFFER_BYTES),
                            new PoolOptions()
                                    .setHttp1MaxSize(MAX_CONNECTIONS)
                                    .setMaxWaitQueueSize(MAX_CONNECTIONS));

    private HoldMain() {}

    /** Runs both measurements; the arguments are a folder for files and further JVM options. */
    public static void main(String[] arguments) throws IOException {
        JVM_OPTIONS.addAll(List.of(arguments).subList(1, arguments.length));
        Path folder = Files.createDirectories(Path.of(arguments[0]));
        for (int count : STREAM_COUNTS) {
            new HoldMain().measureOpenStreams(folder, count);
        }
        for (int count : SLOW_READER_COUNTS) {
            new HoldMain().measureSlowReaders(folder, count);
        }
        System.exit(0);
    }

    private void measureOpenStreams(Path folder, int count) {
        try (Deployment deployment = startDeployment(folder, "1000", "0")) {
            List<HttpClientResponse> openStreams =
                    openStreams(deployment.address("router"), count, false);
            System.out.printf(
                    "%d open streams: router heap %.1f MiB, resident %.1f MiB%n",
                    openStreams.size(),
                    heapBytes(deployment) / BYTES_PER_MIB,
                    deployment.residentBytes("router") / BYTES_PER_MIB);
        }
    }

    private void measureSlowReaders(Path folder, int count) {
        try (Deployment deployment = startDeployment(folder, "50", "1000")) {
            Address router = deployment.address("router");
            openStreams(router, count, true);
            Histogram betweenTokens = new Histogram(3);
            List<HttpClientResponse> fastReaders = openStreams(router, FAST_READERS, false);
            Await.sleep(PHASE_MILLIS);
            fastReaders.forEach(response -> recordTimesBetweenTokens(response, betweenTokens));
            Await.sleep(PHASE_MILLIS);
            System.out.printf(
                    "%d slow readers: router heap %.1f MiB, resident %.1f MiB, fast readers"
                            + " between tokens p50 %.1f ms p95 %.1f ms, engine holds %s%n",
                    count,
                    heapBytes(deployment) / BYTES_PER_MIB,
                    deployment.residentBytes("router") / BYTES_PER_MIB,
                    betweenTokens.getValueAtPercentile(50) / 1e6,
                    betweenTokens.getValueAtPercentile(95) / 1e6,
                    deployment.client("engine").get("/load").body());
        }
    }

    private static Deployment startDeployment(Path folder, String stepMillis, String wordBytes) {
        Deployment deployment =
                Deployment.in(folder, JVM_OPTIONS)
                        .startEngine(
                                "engine",
                                "langnau",
                                "v1",
                                "--step-millis",
                                stepMillis,
                                "--word-bytes",
                                wordBytes,
                                "--memory-tokens",
                                "1000000000");
        deployment.setListedEngineMemory("engine", 1_000_000_000).startOneEntryVm(PAID_TOKENS);
        return deployment;
    }

    private List<HttpClientResponse> openStreams(Address target, int count, boolean paused) {
        List<CompletableFuture<HttpClientResponse>> opening = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            opening.add(openStream(target, paused));
        }
        List<HttpClientResponse> responses = new ArrayList<>();
        opening.forEach(response -> responses.add(response.join()));
        return responses;
    }

    private CompletableFuture<HttpClientResponse> openStream(Address target, boolean paused) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(target.ip())
                        .setPort(target.port())
                        .setMethod(HttpMethod.POST)
                        .setURI("/v1/chat/completions")
                        .setIdleTimeout(OPEN_PERIOD_MILLIS * 10)
                        .putHeader("x-timeout-millis", Long.toString(OPEN_PERIOD_MILLIS * 10))
                        .putHeader("authorization", "Bearer " + Deployment.MEMBER_KEY);
        return client.request(options)
                .compose(request -> request.send(LONG_CHAT))
                .map(response -> consume(response, paused))
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static HttpClientResponse consume(HttpClientResponse response, boolean paused) {
        if (response.statusCode() != 200) {
            throw new IllegalStateException("chat refused with status " + response.statusCode());
        }
        response.handler(bytes -> {});
        return paused ? response.pause() : response;
    }

    /** Records the times between the buffers received; each is taken for one token. */
    private static void recordTimesBetweenTokens(
            HttpClientResponse response, Histogram betweenTokens) {
        AtomicLong lastNanos = new AtomicLong(System.nanoTime());
        response.handler(
                bytes -> {
                    long nowNanos = System.nanoTime();
                    betweenTokens.recordValue(nowNanos - lastNanos.getAndSet(nowNanos));
                });
    }

    private static long heapBytes(Deployment deployment) {
        deployment.collectGarbage("router");
        String metrics = deployment.client("router").get("/metrics").body();
        return (long)
                metrics.lines()
                        .filter(line -> line.startsWith("jvm_memory_used_bytes{area=\"heap\"}"))
                        .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                        .findFirst()
                        .orElseThrow();
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that get neither an answer nor a close, whatever their endpoints do and
 * however often the configuration changes.
 */
class SeededTroubleTest {
    private static final int REQUESTS = 60;
    private static final int CONNECTIONS = 4;
    private static final int DEADLINE_MILLIS = 1_500;

    /** The deadline, and twice the time after which the gateway ends a request that it has lost. */
    private static final long MAX_WAIT_MILLIS = DEADLINE_MILLIS + 4_000;

    private final GatewayHarness harness = new GatewayHarness();
    private HttpClient callers;

    @BeforeEach
    void start() throws Exception {
        harness.start();
        callers =
                harness.vertx.createHttpClient(
                        new HttpClientOptions().setKeepAlive(true),
                        new PoolOptions().setHttp1MaxSize(CONNECTIONS));
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void everyRequestThatIsReadEndsAndLeavesNothingBehind(long seed) throws Exception {
        Random random = new Random(seed);
        Random endpointRandom = new Random(~seed);
        for (int endpoint = 1; endpoint <= 3; endpoint++) {
            harness.addEndpoint("app", "app-" + endpoint, troubled(endpointRandom, this::answer));
            harness.addEndpoint(
                    "llm",
                    "llm-" + endpoint,
                    troubled(endpointRandom, request -> stream(request, endpointRandom)));
        }
        harness.configureAndAwaitReady();
        List<CompletableFuture<String>> ends = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            ends.add(call(random.nextBoolean() ? "/chat/1" : "/orders/1", number));
            if (random.nextInt(6) == 0) {
                harness.store().putConfiguration(configuration(2 + number, random));
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt(40));
        }
        for (CompletableFuture<String> end : ends) {
            assertThat(end.get(2 * MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)).isNotEmpty();
        }
        assertThat(metrics())
                .contains("bramleylatch_gateway_open_requests 0.0")
                .contains("bramleylatch_gateway_orphans_total 0.0");
    }

    /** Returns a behavior that is chosen by chance for each request. */
    private BiConsumer<HttpServerRequest, Integer> troubled(
            Random random, Consumer<HttpServerRequest> sound) {
        return (request, count) -> {
            switch (random.nextInt(6)) {
                case 0 -> request.connection().close();
                case 1 -> harness.vertx.setTimer(700, ignored -> sound.accept(request));
                case 2 -> signed(request).setStatusCode(503).putHeader("not-executed", "1").end();
                case 3 -> harness.vertx.setTimer(3_000, ignored -> request.connection().close());
                default -> sound.accept(request);
            }
        };
    }

    private void answer(HttpServerRequest request) {
        signed(request).end("done");
    }

    /** Sends four events, and closes the connection between two of them in some answers. */
    private void stream(HttpServerRequest request, Random random) {
        String last = request.getHeader("last-event-id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        HttpServerResponse response =
                signed(request).putHeader("content-type", "text/event-stream").setChunked(true);
        for (int id = first; id <= 4; id++) {
            response.write(GatewayHarness.event(id));
        }
        if (first == 1 && random.nextInt(4) == 0) {
            harness.vertx.setTimer(20, ignored -> request.connection().close());
        } else {
            response.end();
        }
    }

    private static HttpServerResponse signed(HttpServerRequest request) {
        return request.response()
                .putHeader("request-id", request.getHeader("request-id"))
                .putHeader("server-seal", "seal-1");
    }

    /** Sends a request on a kept connection; completes with its status, or with its failure. */
    private CompletableFuture<String> call(String path, int number) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(GatewayHarness.LOOPBACK)
                        .setPort(harness.gateway().ports().get(0))
                        .setMethod(HttpMethod.POST)
                        .setURI(path)
                        .putHeader("host", "ropes.example")
                        .putHeader("request-id", "request-" + number)
                        .putHeader("deadline-ms", Integer.toString(DEADLINE_MILLIS))
                        .putHeader("token-counts", "100,16")
                        .putHeader("x-api-key", "secret");
        CompletableFuture<String> end = new CompletableFuture<>();
        callers.request(options)
                .onFailure(failure -> end.complete("not connected: " + failure))
                .onSuccess(
                        request -> {
                            Future<Buffer> body =
                                    request.send(Buffer.buffer("x".repeat(20_000)))
                                            .compose(HttpClientResponse::body);
                            body.onComplete(
                                    done -> end.complete(done.succeeded() ? "whole" : "closed"));
                            harness.vertx.setTimer(
                                    MAX_WAIT_MILLIS,
                                    ignored ->
                                            end.completeExceptionally(
                                                    new TimeoutException("no end: " + path)));
                        });
        return end;
    }

    private static String configuration(int version, Random random) {
        return """
            {"version": %d,
             "limits": {"maxBodyBytes": %d},
             "routes": [
              {"name": "chat", "host": "ropes.example", "pathPrefix": "/chat/",
               "kind": "streaming", "service": "llm", "maxAttempts": 3, "resumable": true,
               "sticky": true, "timeoutMs": %d, "targetLatencyMs": %d},
              {"name": "orders", "host": "ropes.example", "pathPrefix": "/orders/",
               "kind": "unsafe", "service": "%s", "maxAttempts": 2, "timeoutMs": %d}],
             "services": [{"name": "llm", "engine": {"kvCapacity": %d, "stride": %d}}],
             "tenants": [{"name": "ropes", "apiKeys": ["%s"], "prepaid": 100000}]}
            """
                .formatted(
                        version,
                        random.nextInt(6) == 0 ? 10_000 : 100_000,
                        300 + random.nextInt(2_000),
                        random.nextInt(3) * 1_000,
                        random.nextInt(12) == 0 ? "gone" : "app",
                        300 + random.nextInt(2_000),
                        random.nextInt(6) == 0 ? 50 : 100_000,
                        1 + random.nextInt(4),
                        random.nextInt(12) == 0 ? "revoked" : "secret");
    }

    private String metrics() throws Exception {
        return callers.request(
                        HttpMethod.GET,
                        harness.gateway().ports().get(2),
                        GatewayHarness.LOOPBACK,
                        "/metrics")
                .compose(request -> request.send())
                .compose(HttpClientResponse::body)
                .map(Buffer::toString)
                .toCompletionStage()
                .toCompletableFuture()
                .get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }
}

package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.bramleylatch.wire.Address;

/** Sends streamed chats and reports the arrival time of each token. */
final class SseClient {
    private static final int MAX_CONNECTIONS = 20_000;
    private static final String DATA_PREFIX = "data: ";
    private static final String DONE_LINE = "data: [DONE]";

    private final HttpClient client;

    SseClient(Vertx vertx) {
        client =
                vertx.createHttpClient(
                        new HttpClientOptions().setTcpNoDelay(true),
                        new PoolOptions()
                                .setHttp1MaxSize(MAX_CONNECTIONS)
                                .setMaxWaitQueueSize(MAX_CONNECTIONS));
    }

    /**
     * Sends a chat. The future completes once the answer has ended, also if it failed.
     *
     * @param onTokenNanos receives {@link System#nanoTime} for each event but the end marker: for
     *     each token, and for the usage or an error at the end
     */
    CompletableFuture<Outcome> chat(
            Address target, Map<String, String> headers, String body, LongConsumer onTokenNanos) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(target.ip())
                        .setPort(target.port())
                        .setMethod(HttpMethod.POST)
                        .setURI("/v1/chat/completions");
        headers.forEach(options::putHeader);
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        client.request(options)
                .compose(request -> request.send(Buffer.buffer(body)))
                .onSuccess(response -> read(response, onTokenNanos, outcome))
                .onFailure(failure -> outcome.complete(new Outcome(0, false)));
        return outcome;
    }

    /** Sends a GET; the future completes with the status once the body has been read. */
    CompletableFuture<Integer> get(Address target, String path) {
        RequestOptions options =
                new RequestOptions().setHost(target.ip()).setPort(target.port()).setURI(path);
        return client.request(options)
                .compose(request -> request.send())
                .compose(response -> response.body().map(body -> response.statusCode()))
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static void read(
            HttpClientResponse response,
            LongConsumer onTokenNanos,
            CompletableFuture<Outcome> outcome) {
        boolean[] isComplete = new boolean[1];
        RecordParser lines =
                RecordParser.newDelimited(
                        "\n",
                        (Buffer line) -> {
                            String text = line.toString();
                            isComplete[0] |= text.equals(DONE_LINE);
                            if (text.startsWith(DATA_PREFIX) && !text.equals(DONE_LINE)) {
                                onTokenNanos.accept(System.nanoTime());
                            }
                        });
        response.handler(lines);
        response.exceptionHandler(
                failure -> outcome.complete(new Outcome(response.statusCode(), false)));
        response.endHandler(
                end -> outcome.complete(new Outcome(response.statusCode(), isComplete[0])));
    }

    /** Holds the status of a chat, 0 if it got none, and whether the end marker was received. */
    record Outcome(int status, boolean isComplete) {}
}

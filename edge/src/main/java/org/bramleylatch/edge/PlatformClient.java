package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;

/** Calls the HTTP API of the platform: its append-only log and its list of VMs. */
public final class PlatformClient implements LogService {
    private static final long APPEND_TIMEOUT_MILLIS = 2_000;
    private static final long READ_TIMEOUT_MARGIN_MILLIS = 2_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_CONNECTIONS = 16;
    private static final int STATUS_GONE = 410;
    private static final int STATUS_OK = 200;

    private final WebClient client;
    private final Address address;

    /** Creates a client that sends nothing yet. */
    public PlatformClient(Vertx vertx, Address address) {
        this.address = requireNonNull(address);
        this.client =
                WebClient.create(
                        vertx,
                        new WebClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                                .setTcpNoDelay(true),
                        new io.vertx.core.http.PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * Appends records to a stream, in order.
     *
     * @return the offset of the first record; fails with LOG_UNAVAILABLE if it is unknown whether
     *     the records were appended
     */
    @Override
    public CompletableFuture<Long> append(String stream, List<String> records) {
        return client.post(address.port(), address.ip(), "/log/" + stream)
                .timeout(APPEND_TIMEOUT_MILLIS)
                .sendBuffer(Buffer.buffer(Json.writeBytes(new AppendRequest(records))))
                .toCompletionStage()
                .toCompletableFuture()
                .handle(PlatformClient::requireSuccess)
                .thenApply(
                        answer ->
                                Json.read(answer.bodyAsString(), AppendResponse.class)
                                        .firstOffset());
    }

    /**
     * Reads records of a stream; waits for one if there is none yet.
     *
     * @return the page; fails with LOG_POSITION_EXPIRED if the platform no longer keeps the offset,
     *     or with LOG_UNAVAILABLE
     */
    @Override
    public CompletableFuture<LogPage> read(
            String stream, long from, int maxRecords, long waitMillis) {
        String path =
                "/log/"
                        + stream
                        + "?from="
                        + from
                        + "&most="
                        + maxRecords
                        + "&waitMillis="
                        + waitMillis;
        return get(path, waitMillis + READ_TIMEOUT_MARGIN_MILLIS)
                .thenApply(answer -> Json.read(answer.bodyAsString(), LogPage.class));
    }

    /** Fetches the platform's list of VMs, which the platform updates with a delay. */
    public CompletableFuture<VmList> fetchVms() {
        return get("/vms", READ_TIMEOUT_MARGIN_MILLIS)
                .thenApply(answer -> Json.read(answer.bodyAsString(), VmList.class));
    }

    private CompletableFuture<HttpResponse<Buffer>> get(String path, long timeoutMillis) {
        return client.get(address.port(), address.ip(), path)
                .timeout(timeoutMillis)
                .send()
                .toCompletionStage()
                .toCompletableFuture()
                .handle(PlatformClient::requireSuccess);
    }

    private static HttpResponse<Buffer> requireSuccess(
            HttpResponse<Buffer> answer, Throwable failure) {
        if (failure != null) {
            throw ResultException.of(ResultCode.LOG_UNAVAILABLE, failure.toString());
        }
        if (answer.statusCode() == STATUS_GONE) {
            throw ResultException.of(ResultCode.LOG_POSITION_EXPIRED, answer.bodyAsString());
        }
        if (answer.statusCode() != STATUS_OK) {
            throw ResultException.of(
                    ResultCode.LOG_UNAVAILABLE,
                    "platform answered with HTTP status " + answer.statusCode());
        }
        return answer;
    }

    /** Holds the body of an append request. */
    public record AppendRequest(List<String> records) {}

    /**
     * Holds the body of the response to an append.
     *
     * @param firstOffset the offset of the first record
     */
    public record AppendResponse(@JsonProperty("first") long firstOffset) {}
}

package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

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

/** Speaks to the platform: its append-only log and its list of VMs. */
public final class PlatformClient implements LogService {
    private static final long APPEND_TIMEOUT_MILLIS = 2_000;
    private static final long READ_MARGIN_MILLIS = 2_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MOST_CONNECTIONS = 16;
    private static final int GONE = 410;
    private static final int OK = 200;

    private final WebClient client;
    private final Address address;

    /** Makes a client; nothing is sent yet. */
    public PlatformClient(Vertx vertx, Address address) {
        this.address = requireNonNull(address);
        this.client =
                WebClient.create(
                        vertx,
                        new WebClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                                .setTcpNoDelay(true),
                        new io.vertx.core.http.PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS));
    }

    /**
     * Appends records to a stream, in order.
     *
     * @return the offset of the first record; fails with LOG_UNAVAILABLE if the answer is unknown
     */
    @Override
    public CompletableFuture<Long> append(String stream, List<String> records) {
        return client.post(address.port(), address.ip(), "/log/" + stream)
                .timeout(APPEND_TIMEOUT_MILLIS)
                .sendBuffer(Buffer.buffer(Json.writeBytes(new AppendCall(records))))
                .toCompletionStage()
                .toCompletableFuture()
                .handle(PlatformClient::checked)
                .thenApply(answer -> Json.read(answer.bodyAsString(), AppendAnswer.class).first());
    }

    /**
     * Reads records from a stream; waits for one if there is none yet.
     *
     * @return the page; fails with LOG_POSITION_EXPIRED if the platform no longer keeps the offset
     */
    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int most, long waitMillis) {
        String path =
                "/log/" + stream + "?from=" + from + "&most=" + most + "&waitMillis=" + waitMillis;
        return get(path, waitMillis + READ_MARGIN_MILLIS)
                .thenApply(answer -> Json.read(answer.bodyAsString(), LogPage.class));
    }

    /** Returns the platform's list of VMs, which lags. */
    public CompletableFuture<VmList> vms() {
        return get("/vms", READ_MARGIN_MILLIS)
                .thenApply(answer -> Json.read(answer.bodyAsString(), VmList.class));
    }

    private CompletableFuture<HttpResponse<Buffer>> get(String path, long timeoutMillis) {
        return client.get(address.port(), address.ip(), path)
                .timeout(timeoutMillis)
                .send()
                .toCompletionStage()
                .toCompletableFuture()
                .handle(PlatformClient::checked);
    }

    private static HttpResponse<Buffer> checked(HttpResponse<Buffer> answer, Throwable failure) {
        if (failure != null) {
            throw ResultException.of(ResultCode.LOG_UNAVAILABLE, failure.toString());
        }
        if (answer.statusCode() == GONE) {
            throw ResultException.of(ResultCode.LOG_POSITION_EXPIRED, answer.bodyAsString());
        }
        if (answer.statusCode() != OK) {
            throw ResultException.of(ResultCode.LOG_UNAVAILABLE, "status " + answer.statusCode());
        }
        return answer;
    }

    /** Is the body of an append. */
    public record AppendCall(List<String> records) {}

    /** Is the answer to an append. */
    public record AppendAnswer(long first) {}
}

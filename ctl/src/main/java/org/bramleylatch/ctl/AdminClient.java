package org.bramleylatch.ctl;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;

/** Calls the administration API. */
final class AdminClient {
    private static final String BASE = "/admin/v1";
    private static final int FIRST_ERROR = 300;
    private static final long TIMEOUT_MILLIS = 30_000;

    private final WebClient client;
    private final Address address;
    private final CtlOptions options;

    private AdminClient(WebClient client, Address address, CtlOptions options) {
        this.client = client;
        this.address = address;
        this.options = options;
    }

    /** Returns a client for the API that the options name. */
    static AdminClient of(CtlOptions options) {
        return new AdminClient(WebClient.create(Vertx.vertx()), address(options.admin), options);
    }

    /** Returns the address in a text of the form IP:PORT. */
    static Address address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException(text + " is not of the form IP:PORT");
        }
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    String get(String path) {
        return send(HttpMethod.GET, path, "");
    }

    String post(String path, String body) {
        return send(HttpMethod.POST, path, body);
    }

    String put(String path, String body) {
        return send(HttpMethod.PUT, path, body);
    }

    private String send(HttpMethod method, String path, String body) {
        HttpRequest<Buffer> request =
                client.request(method, address.port(), address.ip(), BASE + path)
                        .timeout(TIMEOUT_MILLIS)
                        .bearerTokenAuthentication(options.key);
        if (!options.idempotencyKey.isEmpty()) {
            request.putHeader("idempotency-key", options.idempotencyKey);
        }
        if (!options.revision.isEmpty()) {
            request.putHeader("if-match", options.revision);
        }
        HttpResponse<Buffer> answer =
                request.sendBuffer(Buffer.buffer(body))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join();
        if (answer.statusCode() >= FIRST_ERROR) {
            throw refusal(answer);
        }
        return answer.bodyAsString();
    }

    private static ResultException refusal(HttpResponse<Buffer> answer) {
        String title = Json.readTree(answer.bodyAsString()).path("title").asText();
        return ResultException.of(ResultCode.valueOf(title), answer.bodyAsString());
    }
}

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

/** Calls the administration API and waits for each response. */
final class AdminClient {
    private static final String BASE_PATH = "/admin/v1";
    private static final int FIRST_FAILURE_STATUS = 300;
    private static final long TIMEOUT_MILLIS = 30_000;

    private final WebClient client;
    private final Address address;
    private final CtlOptions options;

    private AdminClient(WebClient client, Address address, CtlOptions options) {
        this.client = client;
        this.address = address;
        this.options = options;
    }

    /** Makes a client with the address, key and headers in the options. */
    static AdminClient of(CtlOptions options) {
        return new AdminClient(
                WebClient.create(Vertx.vertx()), parseAddress(options.adminAddress), options);
    }

    /**
     * Parses an address of the form IP:PORT; raises IllegalArgumentException without a colon or a
     * numeric port.
     */
    static Address parseAddress(String text) {
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
                client.request(method, address.port(), address.ip(), BASE_PATH + path)
                        .timeout(TIMEOUT_MILLIS)
                        .bearerTokenAuthentication(options.adminKey);
        if (!options.idempotencyKey.isEmpty()) {
            request.putHeader("idempotency-key", options.idempotencyKey);
        }
        if (!options.expectedRevision.isEmpty()) {
            request.putHeader("if-match", options.expectedRevision);
        }
        HttpResponse<Buffer> response =
                request.sendBuffer(Buffer.buffer(body))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join();
        if (response.statusCode() >= FIRST_FAILURE_STATUS) {
            throw refusal(response);
        }
        return response.bodyAsString();
    }

    private static ResultException refusal(HttpResponse<Buffer> response) {
        String title = Json.readTree(response.bodyAsString()).path("title").asText();
        return ResultException.of(ResultCode.valueOf(title), response.bodyAsString());
    }
}

package org.bramleylatch.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.wire.Address;

/**
 * Sends HTTP requests to one process and waits for its replies. Uses only the JDK's client and none
 * of the system's protocol code, as an outside client would.
 */
public final class ProcessClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final int OK = 200;

    private final Address address;
    private final Map<String, String> headers;

    private ProcessClient(Address address, Map<String, String> headers) {
        this.address = address;
        this.headers = headers;
    }

    /** Returns a client that sends no key. */
    public static ProcessClient of(Address address) {
        return new ProcessClient(address, Map.of());
    }

    /** Returns a client that also sends the key as a bearer token. */
    public ProcessClient withKey(String key) {
        return withHeader("authorization", "Bearer " + key);
    }

    /** Returns a client that also sends the header with each request. */
    public ProcessClient withHeader(String name, String value) {
        Map<String, String> extendedHeaders = new LinkedHashMap<>(headers);
        extendedHeaders.put(name, value);
        return new ProcessClient(address, extendedHeaders);
    }

    /**
     * Sends a GET and returns the reply.
     *
     * @throws UncheckedIOException if the process is unreachable or silent for a minute
     */
    public Reply get(String path) {
        return send(request(path).GET().build());
    }

    /**
     * Sends a POST and returns the reply.
     *
     * @throws UncheckedIOException if the process is unreachable or silent for a minute
     */
    public Reply post(String path, String body) {
        return send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    /**
     * Sends a PUT and returns the reply.
     *
     * @throws UncheckedIOException if the process is unreachable or silent for a minute
     */
    public Reply put(String path, String body) {
        return send(request(path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    /** Sends a POST without waiting; the future completes with the reply. */
    public CompletableFuture<Reply> postAsync(String path, String body) {
        HttpRequest request = request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build();
        return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Reply(response.statusCode(), response.body()));
    }

    /** Returns true if a GET is answered with 200; false also if the process is unreachable. */
    public boolean isOk(String path) {
        try {
            return get(path).status() == OK;
        } catch (UncheckedIOException unreachable) {
            return false;
        }
    }

    private HttpRequest.Builder request(String path) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
        headers.forEach(builder::header);
        return builder;
    }

    private static Reply send(HttpRequest request) {
        try {
            HttpResponse<String> response =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(response.statusCode(), response.body());
        } catch (IOException unreachable) {
            throw new UncheckedIOException(unreachable);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /** Holds the status and the body of a reply. */
    public record Reply(int status, String body) {

        /**
         * Returns this reply if it has the status.
         *
         * @throws IllegalStateException with status and body if it has another status
         */
        public Reply expectStatus(int expected) {
            return Optional.of(this)
                    .filter(reply -> reply.status == expected)
                    .orElseThrow(
                            () ->
                                    new IllegalStateException(
                                            "unexpected status " + status + ": " + body));
        }
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bramleylatch.core.RouterInput.PathProbed;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests to an endpoint through the relay of a peer. */
class PeerRelayTest {
    private static final int LARGE_BYTES = 4 * 1024 * 1024;
    private static final int TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final AtomicBoolean available = new AtomicBoolean(true);
    private final BlockingQueue<HttpServerRequest> received = new LinkedBlockingQueue<>();
    private final HttpClientAgent client = vertx.createHttpClient();
    private Address endpoint;
    private Address relay;
    private HttpServer server;

    @BeforeEach
    void start() throws Exception {
        server =
                await(
                        vertx.createHttpServer()
                                .requestHandler(this::answer)
                                .listen(0, GatewayHarness.LOOPBACK));
        endpoint = new Address(GatewayHarness.LOOPBACK, server.actualPort());
        PeerRelay peer = new PeerRelay(vertx, address -> address.equals(endpoint), available::get);
        int port =
                peer.listen(new Address(GatewayHarness.LOOPBACK, 0))
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        relay = new Address(GatewayHarness.LOOPBACK, port);
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aLargeRequestAndItsAnswerPassUnchanged() throws Exception {
        Buffer body = Buffer.buffer(new byte[LARGE_BYTES]).setString(LARGE_BYTES - 3, "end");
        Buffer answer = await(send(endpoint, "/echo", body));
        assertThat(answer).isEqualTo(body);
        assertThat(received.remove().path()).isEqualTo("/echo");
    }

    @Test
    void aConnectionCarriesSeveralRequests() throws Exception {
        RequestOptions options = options(endpoint, "/echo");
        HttpClientConnection connection =
                await(
                        client.connect(
                                new HttpConnectOptions()
                                        .setHost(endpoint.ip())
                                        .setPort(endpoint.port())
                                        .setProxyOptions(options.getProxyOptions())));
        for (String body : List.of("one", "two", "three")) {
            Buffer answer =
                    await(
                            connection
                                    .request(options)
                                    .compose(request -> request.send(Buffer.buffer(body)))
                                    .compose(HttpClientResponse::body));
            assertThat(answer.toString()).isEqualTo(body);
        }
        assertThat(received.stream().map(HttpServerRequest::connection).distinct()).hasSize(1);
    }

    /** Guards against a relay that lets others of the network reach any address. */
    @Test
    void anAddressThatIsNoEndpointIsNotConnectedTo() {
        Address other = new Address(GatewayHarness.LOOPBACK, relay.port());
        assertThat(PeerPaths.outcomeOf(failureOf(send(other, "/", Buffer.buffer()))))
                .isEqualTo(PathProbed.Outcome.PEER_FAILED);
    }

    @Test
    void anEndpointThatRefusesIsToldFromAPeerThatDoes() throws Exception {
        await(server.close());
        assertThat(PeerPaths.outcomeOf(failureOf(send(endpoint, "/", Buffer.buffer()))))
                .isEqualTo(PathProbed.Outcome.ENDPOINT_FAILED);
        relay = endpoint;
        assertThat(PeerPaths.outcomeOf(failureOf(send(endpoint, "/", Buffer.buffer()))))
                .isEqualTo(PathProbed.Outcome.PEER_FAILED);
    }

    @Test
    void aVmThatIsStoppingOrCutOffTakesNoNewConnection() {
        available.set(false);
        assertThat(PeerPaths.outcomeOf(failureOf(send(endpoint, "/", Buffer.buffer()))))
                .isEqualTo(PathProbed.Outcome.PEER_FAILED);
    }

    @Test
    void theEndpointSeesTheCloseOfTheVmThatAsked() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        client.request(options(endpoint, "/hold"))
                .onSuccess(request -> request.send(Buffer.buffer("body")));
        HttpServerRequest request = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        request.connection().closeHandler(done -> closed.complete(null));
        client.close();
        closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void theVmThatAskedSeesTheCloseOfTheEndpoint() {
        assertThat(failureOf(send(endpoint, "/break", Buffer.buffer("body")))).isNotNull();
    }

    @Test
    void bytesThatAreNoHandshakeCloseTheConnection() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        NetSocket socket =
                await(vertx.createNetClient().connect(relay.port(), GatewayHarness.LOOPBACK));
        socket.closeHandler(done -> closed.complete(null));
        socket.write("GET / HTTP/1.1\r\n\r\n");
        closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void answer(HttpServerRequest request) {
        received.add(request);
        request.body()
                .onSuccess(
                        body -> {
                            if (request.path().equals("/echo")) {
                                request.response().end(body);
                            } else if (request.path().equals("/break")) {
                                request.response().setChunked(true).write("part");
                                request.connection().close();
                            }
                        });
    }

    private Future<Buffer> send(Address target, String path, Buffer body) {
        return client.request(options(target, path))
                .compose(request -> request.send(body).compose(answer -> answer.body()));
    }

    private RequestOptions options(Address target, String path) {
        PeerPaths paths = new PeerPaths(vm -> Optional.of(relay));
        return new RequestOptions()
                .setHost(target.ip())
                .setPort(target.port())
                .setMethod(HttpMethod.POST)
                .setURI(path)
                .setProxyOptions(paths.through("front-2").orElseThrow());
    }

    private static Throwable failureOf(Future<?> future) {
        CompletableFuture<Throwable> failure = new CompletableFuture<>();
        future.onComplete(done -> failure.complete(done.cause()));
        return failure.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}

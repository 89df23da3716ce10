package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientRequest;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.wire.Cbor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a router's earlier connection that stays in force beside its new one. */
class RouterConnectionsTest {
    private static final long AWAIT_SECONDS = 10;
    private static final Incarnation ROUTER = Incarnation.of("router@vm-1");

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final BlockingQueue<KeeperInput> inputs = new LinkedBlockingQueue<>();
    private final GrpcClient client = GrpcClient.client(vertx);
    private int port;

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aRouterThatConnectsAgainHasLostItsEarlierConnection() throws Exception {
        listen();
        GrpcClientRequest<Buffer, Buffer> earlier = connect();
        GrpcClientRequest<Buffer, Buffer> later = connect();
        earlier.write(encode(new ToKeeperEnvelope(1, released(1))));
        later.write(encode(new ToKeeperEnvelope(2, released(2))));
        List<KeeperInput> received = new ArrayList<>();
        do {
            received.add(inputs.poll(AWAIT_SECONDS, TimeUnit.SECONDS));
        } while (!received.contains(released(2)));
        assertThat(received)
                .containsExactly(
                        new KeeperInput.RouterConnected(ROUTER),
                        new KeeperInput.RouterDisconnected(ROUTER),
                        new KeeperInput.RouterConnected(ROUTER),
                        released(2));
    }

    private void listen() throws Exception {
        RouterConnections connections =
                new RouterConnections(
                        vertx,
                        Incarnation.of("keeper@vm-2"),
                        new HybridLogicalClock(InstantSource.system()),
                        inputs::add);
        port =
                vertx.createHttpServer()
                        .requestHandler(connections::handle)
                        .listen(0, "127.0.0.1")
                        .await(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
    }

    /** Opens a connection and waits for the keeper's hello. */
    private GrpcClientRequest<Buffer, Buffer> connect() throws Exception {
        GrpcClientRequest<Buffer, Buffer> request =
                client.request(
                                SocketAddress.inetSocketAddress(port, "127.0.0.1"),
                                KeeperProtocol.clientMethod())
                        .await(AWAIT_SECONDS, TimeUnit.SECONDS);
        request.write(encode(new Hello(ROUTER, 0)));
        request.response().await(AWAIT_SECONDS, TimeUnit.SECONDS);
        return request;
    }

    private static KeeperInput released(long key) {
        return new KeeperInput.ReservationReleased(ROUTER, RequestKey.of(0, key));
    }

    private static Buffer encode(Object message) {
        return Buffer.buffer(Cbor.write(message));
    }
}

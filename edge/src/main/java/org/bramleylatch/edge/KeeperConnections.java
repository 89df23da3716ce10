package org.bramleylatch.edge;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.client.GrpcClientResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.bramleylatch.core.Dispatch;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Cbor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Maintains a connection to each keeper that was named; reconnects when one is lost. */
public final class KeeperConnections {
    private static final Logger LOG = LoggerFactory.getLogger(KeeperConnections.class);
    private static final long RECONNECT_DELAY_MILLIS = 200;

    private final Vertx vertx;
    private final Incarnation self;
    private final HybridLogicalClock hybridClock;
    private final Set<Address> addresses = new HashSet<>();
    private final Consumer<RouterInput> inbox;
    private final GrpcClient client;
    private final Map<Incarnation, GrpcClientRequest<Buffer, Buffer>> requestsByKeeper =
            new HashMap<>();

    /**
     * Creates the set of connections, without any.
     *
     * @param inbox receives the messages of keepers and changes of their connections
     */
    public KeeperConnections(
            Vertx vertx,
            Incarnation self,
            HybridLogicalClock hybridClock,
            Consumer<RouterInput> inbox) {
        this.vertx = vertx;
        this.self = self;
        this.hybridClock = hybridClock;
        this.inbox = inbox;
        this.client = GrpcClient.client(vertx, clientOptions());
    }

    /** Returns the protocol that gRPC needs without TLS, which the runtime sets by default only. */
    private static HttpClientOptions clientOptions() {
        return new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_2)
                .setHttp2ClearTextUpgrade(false)
                .setMetricsName(LinkUse.PEERS);
    }

    /** Connects to the keeper at the address, unless that address was given before. */
    public void connect(Address address) {
        if (addresses.add(address)) {
            new Connection(address).connect();
        }
    }

    /**
     * Sends a message; drops it if the keeper is not connected, of which the router was informed by
     * {@link RouterInput.KeeperDown}.
     */
    public void send(RouterOutput.ToKeeper output) {
        Optional.ofNullable(requestsByKeeper.get(output.keeper()))
                .ifPresent(
                        request ->
                                request.write(
                                        encode(
                                                new ToKeeperEnvelope(
                                                        hybridClock.next(), output.message()))));
    }

    private static Buffer encode(Object message) {
        return Buffer.buffer(Cbor.write(message));
    }

    /** Maintains the connection to the keeper at one address. */
    private final class Connection {
        private final Address address;
        private Optional<Incarnation> keeper = Optional.empty();
        private Dispatch<KeeperOutput, RouterInput> translation = Dispatch.empty();
        private boolean reconnectScheduled;
        private boolean failureLogged;

        Connection(Address address) {
            this.address = address;
        }

        void connect() {
            reconnectScheduled = false;
            SocketAddress server = SocketAddress.inetSocketAddress(address.port(), address.ip());
            client.request(server, KeeperProtocol.clientMethod())
                    .onFailure(this::handleDisconnect)
                    .onSuccess(this::sendHello);
        }

        private void sendHello(GrpcClientRequest<Buffer, Buffer> request) {
            request.exceptionHandler(this::handleDisconnect);
            request.response()
                    .onSuccess(response -> receiveMessages(request, response))
                    .onFailure(this::handleDisconnect);
            request.write(encode(new Hello(self, hybridClock.next())));
        }

        private void receiveMessages(
                GrpcClientRequest<Buffer, Buffer> request,
                GrpcClientResponse<Buffer, Buffer> response) {
            response.handler(bytes -> receive(request, bytes));
            response.endHandler(end -> handleDisconnect());
            response.exceptionHandler(this::handleDisconnect);
        }

        private void receive(GrpcClientRequest<Buffer, Buffer> request, Buffer bytes) {
            if (keeper.isEmpty()) {
                Hello hello = Cbor.read(bytes.getBytes(), Hello.class);
                hybridClock.observe(hello.order());
                failureLogged = false;
                keeper = Optional.of(hello.incarnation());
                translation = KeeperMessageTranslation.of(hello.incarnation());
                requestsByKeeper.put(hello.incarnation(), request);
                inbox.accept(new RouterInput.KeeperUp(hello.incarnation()));
            } else {
                FromKeeperEnvelope envelope = Cbor.read(bytes.getBytes(), FromKeeperEnvelope.class);
                hybridClock.observe(envelope.order());
                inbox.accept(translation.apply(envelope.message()));
            }
        }

        private void handleDisconnect(Throwable failure) {
            if (!failureLogged) {
                failureLogged = true;
                LOG.info("connection to keeper at {} failed: {}", address, failure.toString());
            }
            handleDisconnect();
        }

        private void handleDisconnect() {
            keeper.ifPresent(requestsByKeeper::remove);
            keeper.map(RouterInput.KeeperDown::new).ifPresent(inbox);
            keeper = Optional.empty();
            scheduleReconnect();
        }

        private void scheduleReconnect() {
            if (!reconnectScheduled) {
                reconnectScheduled = true;
                vertx.setTimer(RECONNECT_DELAY_MILLIS, id -> connect());
            }
        }
    }
}

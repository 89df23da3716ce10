package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.bramleylatch.edge.LinkUse;
import org.bramleylatch.gateway.SocksHandshake.Reply;
import org.bramleylatch.wire.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries bytes between peer VMs that are cut off from an endpoint and that endpoint, as a SOCKS 5
 * server that connects to listed endpoints only. It decides nothing about requests: the VM that
 * took a request from its caller keeps its tokens, attempts, deadline and answer.
 */
final class PeerRelay {
    private static final Logger LOG = LoggerFactory.getLogger(PeerRelay.class);

    /** Ends a handshake that its peer does not finish. */
    private static final long HANDSHAKE_MILLIS = 2_000;

    /** Leaves most of a VM's memory and descriptors to its own callers. */
    private static final int MAX_CONNECTIONS = 256;

    /**
     * Ends connections of a peer that lost power or its path to here. Longer than an answer is
     * silent that its caller still waits for.
     */
    private static final int IDLE_SECONDS = 120;

    private static final int WRITE_QUEUE_BYTES = 16 * 1024;

    private final Vertx vertx;
    private final Predicate<Address> isEndpoint;
    private final BooleanSupplier isAvailable;
    private final NetClient client;
    private final Set<NetSocket> open = new HashSet<>();

    /**
     * Creates a relay that does not listen yet.
     *
     * @param isEndpoint returns true for the address of a listed endpoint
     * @param isAvailable returns false while this VM is no path for others, as it is stopping or
     *     cut off itself
     */
    PeerRelay(Vertx vertx, Predicate<Address> isEndpoint, BooleanSupplier isAvailable) {
        this.vertx = vertx;
        this.isEndpoint = isEndpoint;
        this.isAvailable = isAvailable;
        this.client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setMetricsName(LinkUse.RELAY)
                                .setConnectTimeout(EndpointClient.CONNECT_TIMEOUT_MILLIS)
                                .setTcpNoDelay(true));
    }

    /** Listens for peers; returns the server, or fails if the address can't be used. */
    CompletableFuture<NetServer> listen(Address address) {
        return vertx.createNetServer(
                        new NetServerOptions()
                                .setHost(address.ip())
                                .setPort(address.port())
                                .setIdleTimeout(IDLE_SECONDS)
                                .setTcpNoDelay(true))
                .connectHandler(this::accept)
                .listen()
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Listens for peers; a VM that can't goes on without, as its peers find another path. */
    void start(Address address) {
        listen(address)
                .whenComplete(
                        (listening, failure) -> {
                            if (failure != null) {
                                LOG.warn("no connections of peers are carried", failure);
                            }
                        });
    }

    private void accept(NetSocket peer) {
        if (open.size() >= MAX_CONNECTIONS) {
            peer.close();
            return;
        }
        open.add(peer);
        long timer = vertx.setTimer(HANDSHAKE_MILLIS, due -> peer.close());
        peer.closeHandler(
                closed -> {
                    vertx.cancelTimer(timer);
                    open.remove(peer);
                });
        peer.exceptionHandler(failure -> peer.close());
        SocksHandshake handshake = new SocksHandshake();
        peer.handler(bytes -> receive(peer, handshake, bytes, timer));
    }

    private void receive(NetSocket peer, SocksHandshake handshake, Buffer bytes, long timer) {
        if (!handshake.append(bytes)) {
            peer.close();
            return;
        }
        handshake.takeGreetingAnswer().ifPresent(peer::write);
        Optional<Address> target = handshake.target();
        if (target.isPresent()) {
            vertx.cancelTimer(timer);
            // Nothing follows before the reply; what does anyway is kept by the runtime.
            peer.pause();
            connect(peer, handshake, target.get());
        }
    }

    private void connect(NetSocket peer, SocksHandshake handshake, Address target) {
        if (!isAvailable.getAsBoolean() || !handshake.isSupported() || !isEndpoint.test(target)) {
            peer.end(Reply.NOT_ALLOWED.message());
            return;
        }
        client.connect(target.port(), target.ip())
                .onSuccess(endpoint -> join(peer, endpoint))
                .onFailure(failure -> refuse(peer, target, failure));
    }

    private static void refuse(NetSocket peer, Address target, Throwable failure) {
        LOG.info("connection to {} for a peer failed: {}", target, failure.toString());
        Reply reply =
                switch (EndpointProber.outcomeOf(failure)) {
                    case REFUSED -> Reply.CONNECTION_REFUSED;
                    case UNREACHABLE -> Reply.HOST_UNREACHABLE;
                    default -> Reply.GENERAL_FAILURE;
                };
        peer.end(reply.message());
    }

    private void join(NetSocket peer, NetSocket endpoint) {
        if (!open.contains(peer)) {
            endpoint.close();
            return;
        }
        peer.closeHandler(
                closed -> {
                    open.remove(peer);
                    endpoint.close();
                });
        endpoint.closeHandler(closed -> peer.close());
        endpoint.exceptionHandler(failure -> peer.close());
        carry(peer, endpoint);
        carry(endpoint, peer);
        peer.write(Reply.SUCCEEDED.message());
        peer.resume();
    }

    /** Writes what is read from one side to the other, and reads no faster than that accepts it. */
    private static void carry(NetSocket from, NetSocket to) {
        to.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
        from.handler(
                bytes -> {
                    to.write(bytes);
                    if (to.writeQueueFull()) {
                        from.pause();
                        to.drainHandler(drained -> from.resume());
                    }
                });
    }
}

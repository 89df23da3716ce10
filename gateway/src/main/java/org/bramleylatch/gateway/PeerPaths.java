package org.bramleylatch.gateway;

import io.netty.handler.proxy.ProxyConnectException;
import io.vertx.core.net.ProxyOptions;
import io.vertx.core.net.ProxyType;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.bramleylatch.core.RouterInput.PathProbed;
import org.bramleylatch.wire.Address;

/**
 * Finds the relays of peers, and tells what a failed connection through one shows.
 *
 * @param relayOf returns the address at which a peer VM carries connections; empty if unknown
 */
record PeerPaths(Function<String, Optional<Address>> relayOf) {
    /** Covers the peer's own wait for the endpoint, and two round trips between zones. */
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(700);

    /**
     * Returns the paths through peers that all carry connections on the same port.
     *
     * @param port the port; empty if there are no such paths
     * @param addressOf returns the address at which a peer VM accepts its peers; empty if unknown
     */
    static PeerPaths onPort(OptionalInt port, Function<String, Optional<Address>> addressOf) {
        return new PeerPaths(
                vm ->
                        port.isPresent()
                                ? addressOf
                                        .apply(vm)
                                        .map(peer -> new Address(peer.ip(), port.getAsInt()))
                                : Optional.empty());
    }

    /** Returns how to connect through the peer; empty if it is unknown. */
    Optional<ProxyOptions> through(String peer) {
        return relayOf.apply(peer)
                .map(
                        relay ->
                                new ProxyOptions()
                                        .setType(ProxyType.SOCKS5)
                                        .setHost(relay.ip())
                                        .setPort(relay.port())
                                        .setConnectTimeout(HANDSHAKE_TIMEOUT));
    }

    /** Returns whether the peer or the endpoint is to blame for a connection that failed. */
    static PathProbed.Outcome outcomeOf(Throwable failure) {
        String message = String.valueOf(failure.getMessage());
        boolean isAnswered =
                failure instanceof ProxyConnectException
                        && (message.contains("REFUSED") || message.contains("UNREACHABLE"));
        return isAnswered ? PathProbed.Outcome.ENDPOINT_FAILED : PathProbed.Outcome.PEER_FAILED;
    }
}

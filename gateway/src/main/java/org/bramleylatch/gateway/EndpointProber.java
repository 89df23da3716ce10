package org.bramleylatch.gateway;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.ProxyOptions;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterInput.EndpointProbed.Outcome;
import org.bramleylatch.core.RouterInput.PathProbed;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.edge.LinkUse;
import org.bramleylatch.platform.EndpointEntry;
import org.bramleylatch.wire.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tries connections to endpoints, directly and through peers, without sending a request. */
final class EndpointProber {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointProber.class);

    /**
     * Longer than TCP takes to retransmit a lost packet of the handshake, so that neither a single
     * lost packet nor a path that is silent for a second makes an endpoint look dead.
     */
    private static final int PROBE_TIMEOUT_MILLIS = 1_300;

    private final Function<EndpointId, Optional<EndpointEntry>> registry;
    private final PeerPaths peers;
    private final Consumer<RouterInput> inbox;
    private final NetClient probeClient;

    /**
     * Creates a prober.
     *
     * @param registry finds the newest registry entry of an endpoint
     * @param peers finds the peers that carry connections
     */
    EndpointProber(
            Vertx vertx,
            Function<EndpointId, Optional<EndpointEntry>> registry,
            PeerPaths peers,
            Consumer<RouterInput> inbox) {
        this.registry = registry;
        this.peers = peers;
        this.inbox = inbox;
        this.probeClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setMetricsName(LinkUse.PROBES)
                                .setConnectTimeout(PROBE_TIMEOUT_MILLIS));
    }

    /** Opens a connection to an endpoint and closes it again, and reports the outcome. */
    void probe(RouterOutput.ProbeEndpoint probe) {
        Optional<EndpointEntry> entry = registry.apply(probe.endpoint());
        if (entry.isEmpty()) {
            reportProbe(probe, Outcome.NOT_TRIED, "address unknown");
            return;
        }
        try {
            probe(probe, entry.get().address());
        } catch (RuntimeException refused) {
            LOG.warn("probe of {} not started, {}", probe.endpoint(), entry.get(), refused);
            reportProbe(probe, Outcome.NOT_TRIED, "not started: " + refused.getMessage());
        }
    }

    private void probe(RouterOutput.ProbeEndpoint probe, Address address) {
        probeClient
                .connect(address.port(), address.ip())
                .onSuccess(
                        socket -> {
                            socket.close();
                            reportProbe(probe, Outcome.CONNECTED, "connected");
                        })
                .onFailure(failure -> reportProbe(probe, outcomeOf(failure), failure.getMessage()));
    }

    private void reportProbe(RouterOutput.ProbeEndpoint probe, Outcome outcome, String detail) {
        inbox.accept(new RouterInput.EndpointProbed(probe.endpoint(), outcome, detail));
    }

    /** Asks a peer to connect to an endpoint, closes the connection, and reports the outcome. */
    void probePath(RouterOutput.ProbePath probe) {
        Optional<EndpointEntry> entry = registry.apply(probe.endpoint());
        Optional<ProxyOptions> proxy = peers.through(probe.peer());
        if (entry.isEmpty() || proxy.isEmpty()) {
            reportPath(probe, PathProbed.Outcome.PEER_FAILED, "address unknown");
            return;
        }
        try {
            probePath(probe, entry.get().address(), proxy.get());
        } catch (RuntimeException refused) {
            LOG.warn("probe of {} not started, {}", probe, entry.get(), refused);
            reportPath(probe, PathProbed.Outcome.PEER_FAILED, "not started: " + refused);
        }
    }

    private void probePath(RouterOutput.ProbePath probe, Address address, ProxyOptions proxy) {
        probeClient
                .connect(
                        new ConnectOptions()
                                .setHost(address.ip())
                                .setPort(address.port())
                                .setTimeout(EndpointClient.CONNECT_TIMEOUT_MILLIS)
                                .setProxyOptions(proxy))
                .onSuccess(
                        socket -> {
                            socket.close();
                            reportPath(probe, PathProbed.Outcome.CONNECTED, "connected");
                        })
                .onFailure(
                        failure ->
                                reportPath(
                                        probe, PeerPaths.outcomeOf(failure), failure.toString()));
    }

    private void reportPath(
            RouterOutput.ProbePath probe, PathProbed.Outcome outcome, String detail) {
        inbox.accept(new PathProbed(probe.endpoint(), probe.peer(), outcome, detail));
    }

    /**
     * Returns what a failed connection shows. Only a refused one shows that the endpoint has ended;
     * behind a network partition, it times out. Other failures, such as a lack of file descriptors,
     * are this process's own.
     */
    static Outcome outcomeOf(Throwable failure) {
        if (failure instanceof ConnectTimeoutException
                || failure instanceof NoRouteToHostException) {
            return Outcome.UNREACHABLE;
        }
        return failure instanceof ConnectException ? Outcome.REFUSED : Outcome.NOT_TRIED;
    }
}

package org.bramleylatch.edge;

import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.metrics.MetricsOptions;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.spi.VertxMetricsFactory;
import io.vertx.core.spi.metrics.HttpClientMetrics;
import io.vertx.core.spi.metrics.HttpServerMetrics;
import io.vertx.core.spi.metrics.TCPMetrics;
import io.vertx.core.spi.metrics.VertxMetrics;
import java.util.List;
import java.util.function.IntFunction;
import org.bramleylatch.core.Table;

/**
 * Counts the bytes that the runtime moves over the VM's link, by the use of the connection: the
 * name that a client's options give, or the one that belongs to a server's port. Of HTTP/1 messages
 * the content is counted, not the head.
 */
public final class LinkMeter implements VertxMetricsFactory, VertxMetrics {
    private final IntFunction<String> serverUses;
    private final Table<String, LinkUse> uses = Table.empty();

    /**
     * Creates a meter.
     *
     * @param serverUses names the use of the connections that are accepted on a port
     */
    public LinkMeter(IntFunction<String> serverUses) {
        this.serverUses = serverUses;
    }

    /** Returns options by which the runtime reports to a meter. */
    public static VertxOptions reportTo(VertxOptions options) {
        return options.setMetricsOptions(new MetricsOptions().setEnabled(true));
    }

    /** Returns what each use has moved; called on the event loop. */
    public List<LinkUse> uses() {
        return uses.rows().toList();
    }

    @Override
    public VertxMetrics metrics(VertxOptions options) {
        return this;
    }

    @Override
    public HttpServerMetrics<?, ?, ?> createHttpServerMetrics(
            HttpServerOptions options, SocketAddress address) {
        return new ServerBytes(serverUses.apply(options.getPort()));
    }

    @Override
    public HttpClientMetrics<?, ?, ?> createHttpClientMetrics(HttpClientOptions options) {
        return new ClientBytes(options.getMetricsName());
    }

    @Override
    public TCPMetrics<?> createNetServerMetrics(NetServerOptions options, SocketAddress address) {
        return new ConnectionBytes(serverUses.apply(options.getPort()));
    }

    @Override
    public TCPMetrics<?> createNetClientMetrics(NetClientOptions options) {
        return new ConnectionBytes(options.getMetricsName());
    }

    private void addRead(String use, long bytes) {
        uses.put(use, uses.findOrAdd(use, () -> LinkUse.unused(use)).read(bytes));
    }

    private void addWritten(String use, long bytes) {
        uses.put(use, uses.findOrAdd(use, () -> LinkUse.unused(use)).written(bytes));
    }

    private class ConnectionBytes implements TCPMetrics<Object> {
        private final String use;

        ConnectionBytes(String use) {
            this.use = use;
        }

        @Override
        public void bytesRead(Object connection, SocketAddress remote, long bytes) {
            addRead(use, bytes);
        }

        @Override
        public void bytesWritten(Object connection, SocketAddress remote, long bytes) {
            addWritten(use, bytes);
        }
    }

    private final class ServerBytes extends ConnectionBytes
            implements HttpServerMetrics<Object, Object, Object> {
        ServerBytes(String use) {
            super(use);
        }
    }

    private final class ClientBytes extends ConnectionBytes
            implements HttpClientMetrics<Object, Object, Object> {
        ClientBytes(String use) {
            super(use);
        }
    }
}

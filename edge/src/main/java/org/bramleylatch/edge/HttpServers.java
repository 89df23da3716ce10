package org.bramleylatch.edge;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.net.BindException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.wire.Address;

/** Starts HTTP servers with the same socket options in all processes. */
public final class HttpServers {

    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    /**
     * Exceeds the header limits that operators set for callers, as the runtime's own limit can't
     * follow a change of the configuration.
     */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Ends the wait for connections that never end, such as those of peers. */
    private static final long SHUTDOWN_MILLIS = 1_000;

    private HttpServers() {}

    /**
     * Starts a server for peers that listens on the address; takes HTTP/2 without TLS as well.
     *
     * @return the server; fails with PORT_IN_USE if another process has the port
     */
    public static CompletableFuture<HttpServer> listen(
            Vertx vertx, Address address, Handler<HttpServerRequest> handler) {
        return listen(address, vertx.createHttpServer(options(address)).requestHandler(handler));
    }

    /**
     * Starts a server that listens on the address and takes HTTP/1.1 only, so that a connection
     * carries one request at a time.
     *
     * @param onConnection receives each new connection
     * @return the server; fails with PORT_IN_USE if another process has the port
     */
    public static CompletableFuture<HttpServer> listenHttp1(
            Vertx vertx,
            Address address,
            Handler<HttpConnection> onConnection,
            Handler<HttpServerRequest> handler) {
        HttpServerOptions options = options(address).setHttp2ClearTextEnabled(false);
        return listen(
                address,
                vertx.createHttpServer(options)
                        .connectionHandler(onConnection)
                        .requestHandler(handler));
    }

    /**
     * Takes no more connections, and closes each open one once its requests are answered, the ones
     * that are left after a second.
     *
     * @return completes once no connection is open
     */
    public static CompletableFuture<Void> close(HttpServer server) {
        return server.shutdown(SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static CompletableFuture<HttpServer> listen(Address address, HttpServer server) {
        return server.listen()
                .toCompletionStage()
                .toCompletableFuture()
                .handle((started, failure) -> requireStarted(address, started, failure));
    }

    private static HttpServerOptions options(Address address) {
        return new HttpServerOptions()
                .setHost(address.ip())
                .setPort(address.port())
                .setSendBufferSize(SEND_BUFFER_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setTcpNoDelay(true);
    }

    private static HttpServer requireStarted(
            Address address, HttpServer server, Throwable failure) {
        if (failure instanceof BindException) {
            throw ResultException.of(
                    ResultCode.PORT_IN_USE, address + " is in use; change listen in the settings");
        }
        if (failure != null) {
            throw ResultException.of(ResultCode.INTERNAL, failure.toString());
        }
        return server;
    }
}

package org.bramleylatch.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.edge.MonitoringHandlers;
import org.bramleylatch.edge.RouterConnections;
import org.bramleylatch.platform.BootFile;

/** Listens for callers, for readiness checks, and for peers and metrics. */
final class GatewayServers {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final PrometheusRegistry metricsRegistry;
    private final Map<Server, Integer> ports = new EnumMap<>(Server.class);

    private enum Server {
        CALLERS,
        READINESS,
        PEERS
    }

    GatewayServers(Vertx vertx, PrometheusRegistry metricsRegistry) {
        this.vertx = vertx;
        this.metricsRegistry = metricsRegistry;
    }

    /**
     * Starts the three servers. The one for callers is the last one, so that no caller is connected
     * to a process that can't start.
     *
     * @return completes once all listen; fails with PORT_IN_USE if another process has a port
     */
    CompletableFuture<Void> listen(
            BootFile boot,
            CallerServer callerServer,
            RouterConnections routerConnections,
            BooleanSupplier isReady) {
        return note(
                        Server.PEERS,
                        HttpServers.listen(
                                vertx,
                                boot.internalAddress(),
                                internalHandler(routerConnections, isReady)))
                .thenCompose(
                        done ->
                                note(
                                        Server.READINESS,
                                        HttpServers.listenHttp1(
                                                vertx,
                                                boot.readinessAddress(),
                                                connection -> {},
                                                readinessRoutes(isReady))))
                .thenCompose(
                        done ->
                                note(
                                        Server.CALLERS,
                                        HttpServers.listenHttp1(
                                                vertx,
                                                boot.callerAddress(),
                                                callerServer::handleConnection,
                                                callerServer::handleRequest)));
    }

    /**
     * Returns the ports for callers, for readiness checks and for peers and metrics, in this order.
     */
    List<Integer> ports() {
        return List.copyOf(ports.values());
    }

    private Router readinessRoutes(BooleanSupplier isReady) {
        Router routes = Router.router(vertx);
        routes.get("/ready")
                .handler(
                        call ->
                                call.response()
                                        .setStatusCode(
                                                isReady.getAsBoolean()
                                                        ? STATUS_OK
                                                        : STATUS_UNAVAILABLE)
                                        .end());
        return routes;
    }

    private Handler<HttpServerRequest> internalHandler(
            RouterConnections routerConnections, BooleanSupplier isReady) {
        Router monitoringRoutes = Router.router(vertx);
        MonitoringHandlers.mount(monitoringRoutes, metricsRegistry, isReady::getAsBoolean);
        return request -> {
            if (routerConnections.isGrpcRequest(request)) {
                routerConnections.handle(request);
            } else {
                monitoringRoutes.handle(request);
            }
        };
    }

    private CompletableFuture<Void> note(Server name, CompletableFuture<HttpServer> server) {
        return server.thenAccept(listening -> ports.put(name, listening.actualPort()));
    }
}

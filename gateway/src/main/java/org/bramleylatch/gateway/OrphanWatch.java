package org.bramleylatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import org.bramleylatch.core.RouterWorld;

/**
 * Ends the callers' exchanges and the endpoints' calls that the router has lost, and counts them.
 */
final class OrphanWatch {
    private static final long CHECK_MILLIS = 1_000;

    private final Vertx vertx;
    private final RouterWorld world;
    private final CallerServer callerServer;
    private final EndpointClient endpointClient;
    private final Counter orphanCounter;

    /** Creates the watch; nothing is checked before the start. */
    OrphanWatch(
            Vertx vertx,
            RouterWorld world,
            CallerServer callerServer,
            EndpointClient endpointClient,
            PrometheusRegistry registry) {
        this.vertx = vertx;
        this.world = world;
        this.callerServer = callerServer;
        this.endpointClient = endpointClient;
        this.orphanCounter =
                Counter.builder()
                        .name("bramleylatch_gateway_orphans_total")
                        .help("Requests and attempts that were ended as the router had lost them")
                        .register(registry);
    }

    /**
     * Starts to check once a second. Each check is timed from the one before, so that two checks
     * are never closer, even after the process was paused.
     */
    void start() {
        vertx.setTimer(CHECK_MILLIS, ignored -> check());
    }

    private void check() {
        int orphans =
                callerServer.endOrphans(world.requests()::has)
                        + endpointClient.cancelOrphans(world.attempts()::has);
        orphanCounter.inc(orphans);
        start();
    }
}

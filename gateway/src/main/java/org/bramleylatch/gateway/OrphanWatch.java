package org.bramleylatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.AttemptRow;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.core.RunState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the router's tables with the connections, and counts what only one side knows: ends the
 * callers' exchanges and the endpoints' calls that the router has lost, and fails the router's
 * attempts that have no call.
 */
final class OrphanWatch {
    private static final Logger LOG = LoggerFactory.getLogger(OrphanWatch.class);
    private static final long CHECK_MILLIS = 1_000;

    private final Vertx vertx;
    private final RouterWorld world;
    private final CallerServer callerServer;
    private final EndpointClient endpointClient;
    private final Consumer<RouterInput> inbox;
    private final ConsecutiveCheck<AttemptId> attemptCheck = new ConsecutiveCheck<>();
    private final Counter orphanCounter;

    /**
     * Creates the watch; nothing is checked before the start.
     *
     * @param inbox passes messages to the router
     */
    OrphanWatch(
            Vertx vertx,
            RouterWorld world,
            CallerServer callerServer,
            EndpointClient endpointClient,
            Consumer<RouterInput> inbox,
            PrometheusRegistry registry) {
        this.vertx = vertx;
        this.world = world;
        this.callerServer = callerServer;
        this.endpointClient = endpointClient;
        this.inbox = inbox;
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
        vertx.setTimer(
                CHECK_MILLIS,
                ignored -> {
                    check();
                    start();
                });
    }

    /** Checks once; what lacks its other side at two checks in a row is ended. */
    void check() {
        int orphans =
                callerServer.endOrphans(world.requests()::has)
                        + endpointClient.cancelOrphans(world.attempts()::has)
                        + failAttemptsWithoutCall();
        orphanCounter.inc(orphans);
    }

    private int failAttemptsWithoutCall() {
        List<AttemptId> attempts = world.attempts().rows().map(AttemptRow::id).toList();
        List<AttemptId> orphans = attemptCheck.findFailing(attempts, endpointClient::hasCall);
        orphans.forEach(this::failWithoutCall);
        return orphans.size();
    }

    /** Fails the attempt; the call may have reached the endpoint before it was lost. */
    private void failWithoutCall(AttemptId attempt) {
        LOG.error("attempt {} has no call to its endpoint, failed", attempt);
        inbox.accept(
                new RouterInput.AttemptFailed(
                        attempt, RunState.UNKNOWN, "the call to the endpoint was lost"));
    }
}

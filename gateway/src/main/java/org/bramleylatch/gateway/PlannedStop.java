package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;

/**
 * Runs a planned stop in order: the balancer removes the process, the router finishes its requests,
 * the keeper returns its grants, and the last connections are closed. Each step ends in time for
 * the steps after it, whether it is done or not. Callers are read and answered until the end.
 */
final class PlannedStop {
    /** The balancer checks readiness every second and removes a router after two failures. */
    private static final long BALANCER_REMOVAL_MILLIS = 2_500;

    /** The time at the end of the grace period in which open requests are ended and billed. */
    private static final long LAST_APPENDS_MILLIS = 1_300;

    /** The time at the end of the grace period in which the last connections are closed. */
    private static final long LAST_CLOSES_MILLIS = 1_000;

    /** The time at the end of the grace period in which the process exits, on a VM that is late. */
    private static final long EXIT_MILLIS = 700;

    private final Vertx vertx;
    private final InstantSource clock;
    private final long graceMillis;
    private final Actions actions;
    private final ObjLongConsumer<Step> steps;
    private final CompletableFuture<Void> routerStopped = new CompletableFuture<>();
    private final CompletableFuture<Void> keeperStopped = new CompletableFuture<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean begun;
    private long askedMillis;

    /** Names what has happened in a stop, for the log. */
    enum Step {
        ASKED,
        ASKED_AGAIN,
        ROUTER_ASKED,
        LISTEN_TIME_OVER,
        OPEN_REQUESTS_ENDED,
        ROUTER_STOPPED,
        KEEPER_STOPPED,
        CLOSE_TIME_REACHED,
        TIME_OVER,
        STOPPED
    }

    /**
     * Holds what the steps do, each on the event loop.
     *
     * @param stopRouter asks the router to refuse new requests and to finish those that are open
     * @param closeIdleConnections closes idle connections from now on
     * @param stopListening takes no more connections
     * @param endOpenRequests asks the router to answer the requests that are still open
     * @param stopKeeper asks the keeper to return its grants
     * @param closeRemaining closes the connections that are open when the time is over
     * @param closeConnections takes no more connections; completes once every answer that has ended
     *     is written and no connection is open
     */
    record Actions(
            Runnable stopRouter,
            Runnable closeIdleConnections,
            Runnable stopListening,
            Runnable endOpenRequests,
            Runnable stopKeeper,
            Runnable closeRemaining,
            Supplier<CompletableFuture<Void>> closeConnections) {}

    /**
     * Creates a stop that has not begun.
     *
     * @param graceMillis the time after which the platform ends the process
     * @param steps receives each step once it is done, and the milliseconds since the stop was
     *     asked for
     */
    PlannedStop(
            Vertx vertx,
            InstantSource clock,
            long graceMillis,
            Actions actions,
            ObjLongConsumer<Step> steps) {
        this.vertx = vertx;
        this.clock = clock;
        this.graceMillis = graceMillis;
        this.actions = actions;
        this.steps = steps;
    }

    /**
     * Begins the stop, unless it has begun; called on the event loop.
     *
     * @param newAskedMillis when the stop was asked for, from which the grace period counts
     */
    void begin(long newAskedMillis) {
        if (begun) {
            note(Step.ASKED_AGAIN);
            return;
        }
        begun = true;
        askedMillis = newAskedMillis;
        note(Step.ASKED);
        runAt(
                Math.min(BALANCER_REMOVAL_MILLIS, graceMillis - LAST_APPENDS_MILLIS),
                this::stopRouter);
        runAt(graceMillis / 2, this::stopListening);
        runAt(graceMillis - LAST_APPENDS_MILLIS, this::endRouter);
        runAt(
                graceMillis - LAST_CLOSES_MILLIS,
                () -> complete(keeperStopped, Step.CLOSE_TIME_REACHED));
        runAt(graceMillis - EXIT_MILLIS, this::endInTime);
        routerStopped.thenRun(actions.stopKeeper());
        keeperStopped
                .thenCompose(done -> actions.closeConnections().get())
                .thenRun(() -> complete(stopped, Step.STOPPED));
    }

    /** Returns true once the stop has begun. */
    boolean hasBegun() {
        return begun;
    }

    /** Records that no request is left and all usage is durable. */
    void markRouterStopped() {
        complete(routerStopped, Step.ROUTER_STOPPED);
    }

    /** Records that the keeper has returned its grants. */
    void markKeeperStopped() {
        complete(keeperStopped, Step.KEEPER_STOPPED);
    }

    /** Returns a future that completes when the process may exit, within the grace period. */
    CompletableFuture<Void> whenStopped() {
        return stopped;
    }

    private void stopRouter() {
        note(Step.ROUTER_ASKED);
        actions.stopRouter().run();
        actions.closeIdleConnections().run();
    }

    /** Leaves a VM that is late half of the grace period for the connections that it has taken. */
    private void stopListening() {
        note(Step.LISTEN_TIME_OVER);
        actions.stopListening().run();
    }

    private void endRouter() {
        if (!routerStopped.isDone()) {
            note(Step.OPEN_REQUESTS_ENDED);
            actions.endOpenRequests().run();
            markRouterStopped();
        }
    }

    private void endInTime() {
        actions.closeRemaining().run();
        complete(stopped, Step.TIME_OVER);
    }

    private void complete(CompletableFuture<Void> reached, Step step) {
        if (!reached.isDone()) {
            note(step);
            reached.complete(null);
        }
    }

    private void note(Step step) {
        steps.accept(step, clock.millis() - askedMillis);
    }

    private void runAt(long sinceAskedMillis, Runnable step) {
        long delayMillis = askedMillis + sinceAskedMillis - clock.millis();
        vertx.setTimer(Math.max(1, delayMillis), ignored -> step.run());
    }
}

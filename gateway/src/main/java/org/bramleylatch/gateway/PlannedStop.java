package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs a planned stop in order: the balancer removes the process, the router finishes its requests,
 * the keeper returns its grants, and the last answers are written. Each step ends in time for the
 * steps after it, whether it is done or not.
 */
final class PlannedStop {
    /** The balancer checks readiness every second and removes a router after two failures. */
    private static final long BALANCER_REMOVAL_MILLIS = 2_500;

    /** The time at the end of the grace period that is reserved for the last appends to the log. */
    private static final long LAST_APPENDS_MILLIS = 700;

    /** Names what has happened in a stop, for the log. */
    enum Step {
        ROUTER_ASKED,
        OPEN_REQUESTS_ENDED,
        ROUTER_STOPPED,
        KEEPER_STOPPED,
        TIME_OVER,
        STOPPED
    }

    private final Vertx vertx;
    private final long graceMillis;
    private final Runnable stopRouter;
    private final Runnable endOpenRequests;
    private final Runnable stopKeeper;
    private final Supplier<CompletableFuture<Void>> answersWritten;
    private final Consumer<Step> steps;
    private final CompletableFuture<Void> routerStopped = new CompletableFuture<>();
    private final CompletableFuture<Void> keeperStopped = new CompletableFuture<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean begun;

    /**
     * Creates a stop that has not begun.
     *
     * @param graceMillis the time after which the platform ends the process
     * @param stopRouter asks the router to refuse new requests and to finish those that are open
     * @param endOpenRequests asks the router to answer the requests that are still open
     * @param stopKeeper asks the keeper to return its grants
     * @param answersWritten returns a future that completes once every answer that has ended is
     *     written
     * @param steps receives each step once it is done, before the next one begins
     */
    PlannedStop(
            Vertx vertx,
            long graceMillis,
            Runnable stopRouter,
            Runnable endOpenRequests,
            Runnable stopKeeper,
            Supplier<CompletableFuture<Void>> answersWritten,
            Consumer<Step> steps) {
        this.vertx = vertx;
        this.graceMillis = graceMillis;
        this.stopRouter = stopRouter;
        this.endOpenRequests = endOpenRequests;
        this.stopKeeper = stopKeeper;
        this.answersWritten = answersWritten;
        this.steps = steps;
    }

    /** Begins the stop; called on the event loop. */
    void begin() {
        begun = true;
        runAfter(BALANCER_REMOVAL_MILLIS, this::askRouter);
        runAfter(graceMillis - LAST_APPENDS_MILLIS, this::endRouter);
        runAfter(graceMillis - LAST_APPENDS_MILLIS / 2, () -> end(Step.TIME_OVER));
        routerStopped.thenRun(stopKeeper);
        keeperStopped.thenCompose(done -> answersWritten.get()).thenRun(() -> end(Step.STOPPED));
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

    private void askRouter() {
        steps.accept(Step.ROUTER_ASKED);
        stopRouter.run();
    }

    private void endRouter() {
        if (!routerStopped.isDone()) {
            steps.accept(Step.OPEN_REQUESTS_ENDED);
            endOpenRequests.run();
            markRouterStopped();
        }
    }

    private void end(Step reason) {
        complete(stopped, reason);
    }

    private void complete(CompletableFuture<Void> reached, Step step) {
        if (!reached.isDone()) {
            steps.accept(step);
            reached.complete(null);
        }
    }

    private void runAfter(long delayMillis, Runnable step) {
        vertx.setTimer(Math.max(1, delayMillis), ignored -> step.run());
    }
}

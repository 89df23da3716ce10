package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
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

    private final Vertx vertx;
    private final long graceMillis;
    private final Runnable stopRouter;
    private final Runnable endOpenRequests;
    private final Runnable stopKeeper;
    private final Supplier<CompletableFuture<Void>> answersWritten;
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
     */
    PlannedStop(
            Vertx vertx,
            long graceMillis,
            Runnable stopRouter,
            Runnable endOpenRequests,
            Runnable stopKeeper,
            Supplier<CompletableFuture<Void>> answersWritten) {
        this.vertx = vertx;
        this.graceMillis = graceMillis;
        this.stopRouter = stopRouter;
        this.endOpenRequests = endOpenRequests;
        this.stopKeeper = stopKeeper;
        this.answersWritten = answersWritten;
    }

    /** Begins the stop; called on the event loop. */
    void begin() {
        begun = true;
        runAfter(BALANCER_REMOVAL_MILLIS, stopRouter);
        runAfter(graceMillis - LAST_APPENDS_MILLIS, this::endRouter);
        runAfter(graceMillis - LAST_APPENDS_MILLIS / 2, () -> stopped.complete(null));
        routerStopped.thenRun(stopKeeper);
        keeperStopped
                .thenCompose(done -> answersWritten.get())
                .thenRun(() -> stopped.complete(null));
    }

    /** Returns true once the stop has begun. */
    boolean hasBegun() {
        return begun;
    }

    /** Records that no request is left and all usage is durable. */
    void markRouterStopped() {
        routerStopped.complete(null);
    }

    /** Records that the keeper has returned its grants. */
    void markKeeperStopped() {
        keeperStopped.complete(null);
    }

    /** Returns a future that completes when the process may exit, within the grace period. */
    CompletableFuture<Void> whenStopped() {
        return stopped;
    }

    private void endRouter() {
        endOpenRequests.run();
        markRouterStopped();
    }

    private void runAfter(long delayMillis, Runnable step) {
        vertx.setTimer(Math.max(1, delayMillis), ignored -> step.run());
    }
}

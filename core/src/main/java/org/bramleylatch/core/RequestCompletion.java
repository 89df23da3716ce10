package org.bramleylatch.core;

import java.util.Optional;
import java.util.Set;

/** Ends requests: informs the caller, releases or settles the tokens, and removes the rows. */
final class RequestCompletion {
    private static final Set<ResultCode> ALREADY_RAN = Set.of(ResultCode.USAGE_ALREADY_SETTLED);
    private static final Set<ResultCode> OTHER_RUN_UNKNOWN =
            Set.of(
                    ResultCode.REQUEST_IN_PROGRESS,
                    ResultCode.OUTCOME_UNKNOWN,
                    ResultCode.IDEMPOTENCY_KEY_EXPIRED);

    private RequestCompletion() {}

    /**
     * Returns the run state to report with a refusal. Some codes tell of another run with the same
     * key, so that a request that did not run itself may still have run before.
     */
    static RunState reportableRunState(ResultCode code, RunState runState) {
        if (ALREADY_RAN.contains(code)) {
            return RunState.RAN;
        }
        return runState == RunState.NOT_RUN && OTHER_RUN_UNKNOWN.contains(code)
                ? RunState.UNKNOWN
                : runState;
    }

    /**
     * Refuses the request or breaks off its answer. Bills the prompt and the delivered tokens if an
     * endpoint may have run the request, subject to {@link RouteOptions#billsUnansweredPrompt}.
     */
    static void refuse(RouterWorld world, RequestRow row, ResultCode code, String detail) {
        refuse(world, row, code, detail, Optional.empty());
    }

    /**
     * Refuses the request like {@link #refuse(RouterWorld, RequestRow, ResultCode, String)}.
     *
     * @param retryAfterMillis when the request may be served; empty for what {@link RetryAdvice}
     *     says of the code
     */
    static void refuse(
            RouterWorld world,
            RequestRow row,
            ResultCode code,
            String detail,
            Optional<Long> retryAfterMillis) {
        cancelAttempt(world, row);
        RunState runState = reportableRunState(code, row.runState());
        world.send(
                new RouterOutput.Refuse(row.spec().id(), code, runState, detail, retryAfterMillis));
        world.note(
                EventKind.REQUEST_REFUSED,
                row.spec().key(),
                code
                        + " "
                        + runState
                        + " request="
                        + row.spec().id()
                        + " stage="
                        + row.stage()
                        + " "
                        + detail);
        releaseClaim(world, row);
        billOrRelease(world, row);
        removeRequest(world, row);
    }

    /** Ends a request whose caller disconnected; bills it like a refused one. */
    static void abandon(RouterWorld world, RequestRow row) {
        cancelAttempt(world, row);
        world.note(
                EventKind.REQUEST_REFUSED,
                row.spec().key(),
                "caller disconnected request=" + row.spec().id() + " stage=" + row.stage());
        releaseClaim(world, row);
        billOrRelease(world, row);
        removeRequest(world, row);
    }

    /** Sends a service's answer to the caller and ends the request. */
    static void deliverServiceAnswer(RouterWorld world, RequestRow row, int status, String body) {
        world.send(new RouterOutput.DeliverServiceAnswer(row.spec().id(), status, body));
        world.note(EventKind.REQUEST_FINISHED, row.spec().key(), "status=" + status);
        releaseReservation(world, row);
        removeRequest(world, row);
    }

    /** Removes the request's rows and timers; its settlement remains. */
    static void removeRequest(RouterWorld world, RequestRow row) {
        RequestId id = row.spec().id();
        world.requests().remove(id);
        world.requestsByKey().remove(row.spec().key());
        world.queuedRequests().remove(id);
        world.remainingLenders().remove(id);
        world.timers().clear(new RouterTimer.RequestDeadline(id));
        world.timers().clear(new RouterTimer.ReserveTimeout(id));
        world.timers().clear(new RouterTimer.QueueTimeout(id));
    }

    /** Cancels the request's running attempt, if there is one. */
    static void cancelAttempt(RouterWorld world, RequestRow row) {
        Optional<AttemptRow> attempt = row.attempt().flatMap(id -> closeAttempt(world, id));
        attempt.map(AttemptRow::id).map(RouterOutput.CancelAttempt::new).ifPresent(world::send);
    }

    /** Removes an attempt and frees its share of the endpoint's load; empty if it is unknown. */
    static Optional<AttemptRow> closeAttempt(RouterWorld world, AttemptId id) {
        Optional<AttemptRow> attempt = world.attempts().remove(id);
        attempt.ifPresent(
                row ->
                        world.endpoints()
                                .update(
                                        row.endpoint(),
                                        e ->
                                                e.requestEnded(
                                                        row.worstCaseTokens(),
                                                        row.unprocessedPromptTokens())));
        world.timers().clear(new RouterTimer.AttemptSilenceCheck(id));
        world.silences().remove(id);
        return attempt;
    }

    private static void billOrRelease(RouterWorld world, RequestRow row) {
        boolean isFree =
                row.runState() == RunState.NOT_RUN
                        || row.deliveredTokens() == 0
                                && !row.spec().route().options().billsUnansweredPrompt();
        long tokens = isFree ? 0 : row.spec().promptTokens() + row.deliveredTokens();
        boolean settling = world.settlements().has(row.spec().key());
        if (tokens > 0 && row.grant().isPresent() && !settling) {
            Settlements.open(world, row, tokens, Optional.empty());
        } else {
            releaseReservation(world, row);
        }
    }

    private static void releaseReservation(RouterWorld world, RequestRow row) {
        boolean settling = world.settlements().has(row.spec().key());
        Optional<Incarnation> keeper = row.keeper().filter(k -> row.grant().isPresent());
        if (keeper.isPresent() && !settling) {
            world.send(
                    new RouterOutput.ToKeeper(
                            keeper.get(),
                            new KeeperInput.ReservationReleased(world.self(), row.spec().key())));
        }
    }

    private static void releaseClaim(RouterWorld world, RequestRow row) {
        boolean claimed = row.spec().route().requiresClaim() && hasClaim(row);
        Optional<Incarnation> keeper = world.keeperOf(row.spec().budget());
        if (claimed && row.runState() == RunState.NOT_RUN && keeper.isPresent()) {
            world.send(
                    new RouterOutput.ToKeeper(
                            keeper.get(),
                            new KeeperInput.IntentEnded(
                                    row.spec().key(), world.self(), RunState.NOT_RUN, 0, "")));
        }
    }

    private static boolean hasClaim(RequestRow row) {
        return row.stage() == RequestRow.Stage.QUEUED || row.stage() == RequestRow.Stage.RUNNING;
    }
}

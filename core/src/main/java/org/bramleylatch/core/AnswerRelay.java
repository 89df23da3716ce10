package org.bramleylatch.core;

import java.util.Optional;
import org.bramleylatch.core.RequestRow.Stage;
import org.bramleylatch.core.RouterInput.AnswerEnded;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.bramleylatch.core.RouterInput.CallerDisconnected;
import org.bramleylatch.core.RouterInput.CallerPaused;
import org.bramleylatch.core.RouterInput.ServiceAnswered;
import org.bramleylatch.core.RouterInput.TokensArrived;

/**
 * Relays answers from attempts to callers, and retries or refuses requests whose attempts fail.
 * Drops repeated tokens and messages of attempts that have ended.
 */
record AnswerRelay(RouterWorld world, RouterLimits limits, long nowMillis) {
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /** Relays tokens that continue a running attempt's answer; a gap fails the attempt. */
    boolean deliverTokens(TokensArrived arrived) {
        Optional<AttemptRow> attempt = world.attempts().find(arrived.attempt());
        if (attempt.isEmpty()) {
            return drop(arrived.attempt(), "tokens of an unknown attempt");
        }
        AttemptRow row = attempt.get();
        if (arrived.position() < row.nextPosition()) {
            return drop(arrived.attempt(), "repeated tokens at position " + arrived.position());
        }
        if (arrived.position() > row.nextPosition()) {
            return failAttempt(
                    new AttemptFailed(
                            arrived.attempt(),
                            RunState.RAN,
                            "tokens missing before position " + arrived.position()));
        }
        world.attempts().put(row.id(), row.tokensReceived(arrived.tokens(), nowMillis));
        new EndpointProbes(world, nowMillis).recordAnswer(row.endpoint());
        if (row.firstTokenLatencyMillis().isEmpty()) {
            recordStart(row);
            recordPathSuccess(row);
        }
        if (row.unprocessedPromptTokens() > 0) {
            world.endpoints()
                    .update(
                            row.endpoint(),
                            e -> e.firstTokenReceived(row.unprocessedPromptTokens()));
        }
        world.requests()
                .update(
                        row.request(),
                        request -> request.tokensDelivered(arrived.tokens(), arrived.resumable()));
        world.send(new RouterOutput.DeliverTokens(row.request(), arrived.text()));
        return true;
    }

    /** Starts the settlement of a complete answer; an incomplete one fails the attempt. */
    boolean endAnswer(AnswerEnded ended) {
        Optional<AttemptRow> attempt = world.attempts().find(ended.attempt());
        if (attempt.isEmpty()) {
            return drop(ended.attempt(), "end of an unknown attempt");
        }
        if (ended.position() != attempt.get().nextPosition()) {
            String detail =
                    "answer ended at position "
                            + ended.position()
                            + ", expected "
                            + attempt.get().nextPosition();
            return failAttempt(new AttemptFailed(ended.attempt(), RunState.RAN, detail));
        }
        RequestCompletion.closeAttempt(world, ended.attempt());
        countForMove(attempt.get(), true);
        CrashDetection crashes = new CrashDetection(world, nowMillis);
        world.requests()
                .find(attempt.get().request())
                .ifPresent(row -> crashes.recordCompletedAnswer(row.spec()));
        world.endpoints().update(attempt.get().endpoint(), EndpointRow::attemptSucceeded);
        world.note(EventKind.ATTEMPT_ENDED, ended.attempt(), "tokens=" + ended.position());
        world.requests().find(attempt.get().request()).ifPresent(this::startSettlement);
        return true;
    }

    /**
     * Relays a service's answer; a server error fails the attempt while a retry is allowed, and any
     * whole answer fails it if the caller has the beginning of a stream, which it can't continue.
     */
    boolean deliverServiceAnswer(ServiceAnswered answered) {
        if (hasBegun(answered.attempt())) {
            String detail = "whole answer with status " + answered.status() + " to a begun stream";
            return failAttempt(new AttemptFailed(answered.attempt(), RunState.RAN, detail));
        }
        if (answered.status() >= FIRST_SERVER_ERROR_STATUS && canRetry(answered.attempt())) {
            String detail = "service answered with status " + answered.status();
            return failAttempt(new AttemptFailed(answered.attempt(), RunState.RAN, detail));
        }
        Optional<AttemptRow> attempt = RequestCompletion.closeAttempt(world, answered.attempt());
        if (attempt.isEmpty()) {
            return drop(answered.attempt(), "answer of an unknown attempt");
        }
        countForMove(attempt.get(), answered.status() < FIRST_SERVER_ERROR_STATUS);
        recordStart(attempt.get());
        recordPathSuccess(attempt.get());
        new EndpointProbes(world, nowMillis).recordAnswer(attempt.get().endpoint());
        world.endpoints()
                .update(
                        attempt.get().endpoint(),
                        row ->
                                answered.status() < FIRST_SERVER_ERROR_STATUS
                                        ? row.attemptSucceeded()
                                        : row.attemptFailed(nowMillis));
        world.note(EventKind.ATTEMPT_ENDED, answered.attempt(), "status=" + answered.status());
        world.requests()
                .find(attempt.get().request())
                .ifPresent(row -> finishService(row, answered.status(), answered.body()));
        return true;
    }

    /**
     * Cancels a failed attempt, counts the failure against its endpoint, and queues the request for
     * a retry if one is allowed; otherwise refuses it.
     */
    boolean failAttempt(AttemptFailed failed) {
        Optional<AttemptRow> attempt = RequestCompletion.closeAttempt(world, failed.attempt());
        if (attempt.isEmpty()) {
            return drop(failed.attempt(), "failure of an unknown attempt");
        }
        world.send(new RouterOutput.CancelAttempt(failed.attempt()));
        EndpointId endpoint = attempt.get().endpoint();
        boolean counts = countsAgainstEndpoint(attempt.get(), failed);
        recordPathFailure(attempt.get(), failed, counts);
        if (counts) {
            countForMove(attempt.get(), false);
        }
        if (counts && isSignOfOverload(attempt.get(), failed)) {
            world.endpoints().update(attempt.get().endpoint(), row -> row.overloaded(nowMillis));
        }
        new CrashDetection(world, nowMillis).recordBrokenAttempt(attempt.get(), failed);
        if (counts && failed.cause() != AttemptFailed.Cause.PATH_FAILED) {
            world.endpoints()
                    .update(
                            endpoint,
                            row ->
                                    failed.connected()
                                            ? row.attemptFailed(nowMillis)
                                            : row.connectionFailed(nowMillis));
        }
        world.note(
                EventKind.ATTEMPT_FAILED,
                failed.attempt(),
                endpoint
                        + " "
                        + failed.detail()
                        + describeProgress(attempt.get())
                        + (counts ? "" : " counted=false " + world.load()));
        world.requests()
                .find(attempt.get().request())
                .map(row -> row.waitingSince(Optional.of(row.waitingSinceMillis(attempt.get()))))
                .ifPresent(row -> retryOrRefuse(row, endpoint, failed));
        return true;
    }

    /** Returns false if this VM's own lateness may be the cause. */
    private boolean countsAgainstEndpoint(AttemptRow attempt, AttemptFailed failed) {
        return !failed.timedOut()
                || new TimeoutEvidence(world, nowMillis).counts(attempt.lastProgressMillis());
    }

    private void recordPathSuccess(AttemptRow attempt) {
        EndpointPaths paths = new EndpointPaths(world, nowMillis);
        attempt.via()
                .ifPresentOrElse(
                        paths::recordPeerSuccess,
                        () -> paths.recordDirectAnswer(attempt.endpoint()));
    }

    /** Records what the failed connection shows of the path that the attempt took. */
    private void recordPathFailure(AttemptRow attempt, AttemptFailed failed, boolean counts) {
        EndpointPaths paths = new EndpointPaths(world, nowMillis);
        if (failed.cause() == AttemptFailed.Cause.PATH_FAILED) {
            attempt.via().ifPresent(paths::recordPeerFailure);
        } else if (!failed.connected() && attempt.via().isEmpty()) {
            paths.recordDirectFailure(attempt.endpoint(), counts);
        }
    }

    /** Pauses or resumes reading from the endpoint, and queues a parked request for resumption. */
    boolean pauseOrResume(CallerPaused paused) {
        Optional<RequestRow> request = world.requests().find(paused.request());
        request.flatMap(RequestRow::attempt).ifPresent(id -> pauseOrResume(id, paused.paused()));
        request.filter(row -> row.stage() == Stage.PARKED && !paused.paused())
                .ifPresent(this::requeue);
        return request.isPresent();
    }

    /** Ends a request whose caller disconnected; the usage of a complete answer still settles. */
    boolean abandon(CallerDisconnected disconnected) {
        Optional<RequestRow> row = world.requests().find(disconnected.request());
        row.filter(found -> found.stage() == Stage.SETTLING)
                .ifPresent(found -> Settlements.abandonAnswer(world, found));
        row.filter(found -> found.stage() != Stage.SETTLING)
                .ifPresent(found -> RequestCompletion.abandon(world, found));
        return row.isPresent();
    }

    /** Returns true if the endpoint was silent until a timeout or did not run the request. */
    private static boolean isSignOfOverload(AttemptRow attempt, AttemptFailed failed) {
        boolean isSilent = failed.cause() == AttemptFailed.Cause.TIMED_OUT;
        return (isSilent || failed.cause() == AttemptFailed.Cause.OTHER)
                && attempt.firstTokenLatencyMillis().isEmpty()
                && failed.runState() != RunState.RAN;
    }

    /** Raises the endpoint's concurrency limit if the attempt started to answer in time. */
    private void recordStart(AttemptRow attempt) {
        long targetMillis =
                world.requests()
                        .find(attempt.request())
                        .map(row -> row.spec().route().options().targetLatencyMillis())
                        .orElse(0L);
        if (nowMillis - attempt.startedMillis() <= targetMillis) {
            world.endpoints().update(attempt.endpoint(), EndpointRow::answeredInTime);
        }
    }

    private boolean hasBegun(AttemptId attempt) {
        return world.attempts()
                .find(attempt)
                .flatMap(row -> world.requests().find(row.request()))
                .filter(row -> row.deliveredTokens() > 0)
                .isPresent();
    }

    private boolean canRetry(AttemptId attempt) {
        return world.attempts()
                .find(attempt)
                .flatMap(row -> world.requests().find(row.request()))
                .filter(row -> row.spec().route().repeatable())
                .filter(row -> Retries.allows(world, limits, row, true, nowMillis))
                .isPresent();
    }

    private void pauseOrResume(AttemptId id, boolean isPaused) {
        world.attempts().update(id, row -> row.withPaused(isPaused, nowMillis));
        world.send(new RouterOutput.PauseAttempt(id, isPaused));
        long checkDelayMillis =
                isPaused ? limits.pauseTimeoutMillis() : limits.stallTimeoutMillis();
        world.timers().set(new RouterTimer.AttemptSilenceCheck(id), nowMillis + checkDelayMillis);
    }

    private void requeue(RequestRow row) {
        world.requests().put(row.spec().id(), row.inStage(Stage.QUEUED));
        world.queuedRequests().add(row.spec().id());
    }

    private void countForMove(AttemptRow attempt, boolean succeeded) {
        world.requests()
                .find(attempt.request())
                .ifPresent(
                        row ->
                                MoveReportSystem.countAttempt(
                                        world,
                                        row,
                                        attempt.endpoint(),
                                        succeeded,
                                        attempt.firstTokenLatencyMillis()));
    }

    /** Returns how far the attempt had come and how many others of this router run there. */
    private String describeProgress(AttemptRow attempt) {
        int others =
                world.endpoints()
                        .find(attempt.endpoint())
                        .map(row -> row.load().outstanding())
                        .orElse(0);
        return " position="
                + attempt.nextPosition()
                + " firstTokenMillis="
                + attempt.firstTokenLatencyMillis().map(String::valueOf).orElse("none")
                + " ageMillis="
                + (nowMillis - attempt.startedMillis())
                + " othersThere="
                + others
                + " key="
                + world.requests()
                        .find(attempt.request())
                        .map(row -> row.spec().key().toString())
                        .orElse("none");
    }

    private boolean drop(AttemptId attempt, String detail) {
        world.note(EventKind.MESSAGE_DROPPED, attempt, detail);
        return false;
    }

    private void startSettlement(RequestRow row) {
        RequestSpec spec = row.spec();
        world.requests().put(spec.id(), row.inStage(Stage.SETTLING));
        world.timers().clear(new RouterTimer.RequestDeadline(spec.id()));
        world.timers()
                .set(
                        new RouterTimer.UsageHoldTimeout(spec.key()),
                        Math.min(
                                nowMillis + limits.usageHoldTimeoutMillis(),
                                spec.deadlineMillis()));
        if (row.grant().isEmpty()) {
            Settlements.finishRequest(world, row);
            return;
        }
        long tokens = spec.promptTokens() + row.deliveredTokens();
        Settlements.open(world, row, tokens, Optional.of(spec.id()));
    }

    private void finishService(RequestRow row, int status, String body) {
        RequestSpec spec = row.spec();
        if (spec.route().requiresClaim()) {
            world.keeperOf(spec.budget())
                    .ifPresent(keeper -> recordIntentOutcome(keeper, spec.key(), status, body));
        }
        if (row.grant().isPresent()) {
            long tokens =
                    spec.route().kind() == RouteKind.CHAT
                            ? spec.promptTokens() + row.deliveredTokens()
                            : spec.worstCaseTokens();
            Settlements.open(world, row, tokens, Optional.empty());
        }
        RequestCompletion.deliverServiceAnswer(world, row, status, body);
    }

    private void recordIntentOutcome(Incarnation keeper, RequestKey key, int status, String body) {
        world.send(
                new RouterOutput.ToKeeper(
                        keeper,
                        new KeeperInput.IntentEnded(
                                key, world.self(), RunState.RAN, status, body)));
    }

    private void retryOrRefuse(RequestRow row, EndpointId endpoint, AttemptFailed failed) {
        RunState runState = combineRunStates(row, failed.runState());
        RequestRow after =
                failed.cause() == AttemptFailed.Cause.PATH_FAILED
                        ? row.attemptNotSent(runState)
                        : row.attemptFailed(
                                endpoint, runState, failed.runState() != RunState.NOT_RUN);
        if (Retries.allows(world, limits, after, failed.connected(), nowMillis)) {
            if (failed.connected()) {
                Retries.countRetry(world, after.spec(), limits, nowMillis);
            }
            world.requests().put(after.spec().id(), after.inStage(Stage.QUEUED));
            world.queuedRequests().add(after.spec().id());
        } else {
            RequestCompletion.refuse(world, after, failureCode(after), failed.detail());
        }
    }

    private static ResultCode failureCode(RequestRow row) {
        if (row.deliveredTokens() > 0) {
            return ResultCode.ANSWER_INCOMPLETE;
        }
        return row.runState() == RunState.NOT_RUN
                        && row.spec().route().options().waitsForSilentEndpoint()
                ? ResultCode.OVERLOADED
                : ResultCode.ENDPOINT_FAILED;
    }

    private static RunState combineRunStates(RequestRow row, RunState latest) {
        boolean earlierMayHaveRun = row.attemptCount() > 1 && row.runState() != RunState.NOT_RUN;
        return row.deliveredTokens() > 0
                ? RunState.RAN
                : earlierMayHaveRun && latest == RunState.NOT_RUN ? RunState.UNKNOWN : latest;
    }
}

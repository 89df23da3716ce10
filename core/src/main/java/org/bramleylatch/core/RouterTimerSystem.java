package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RequestRow.Stage;
import org.bramleylatch.core.RouterTimer.AttemptSilenceCheck;
import org.bramleylatch.core.RouterTimer.MoveReport;
import org.bramleylatch.core.RouterTimer.QueueTimeout;
import org.bramleylatch.core.RouterTimer.RequestDeadline;
import org.bramleylatch.core.RouterTimer.ReserveTimeout;
import org.bramleylatch.core.RouterTimer.UsageHoldTimeout;
import org.bramleylatch.core.RouterTimer.WithdrawalDue;

/** Handles the timers that are due: expires requests and reservations, and checks attempts. */
record RouterTimerSystem(RouterLimits limits, FailureHandler failures)
        implements TickSystem<RouterWorld> {
    /** Longer than most freezes of a process, and shorter than a grant lasts. */
    private static final long KEEPER_RETRIAL_MILLIS = 2_000;

    @Override
    public void run(RouterWorld world, long nowMillis) {
        Dispatch<RouterTimer, Boolean> handlers =
                Dispatch.<RouterTimer, Boolean>empty()
                        .on(RequestDeadline.class, due -> expire(world, due.request()))
                        .on(
                                ReserveTimeout.class,
                                due -> expireReserve(world, due.request(), nowMillis))
                        .on(AttemptSilenceCheck.class, due -> checkSilence(world, due, nowMillis))
                        .on(
                                RouterTimer.KeeperRetrial.class,
                                due -> world.silentKeepers().remove(due.keeper()))
                        .on(QueueTimeout.class, due -> expireQueued(world, due.request()))
                        .on(
                                WithdrawalDue.class,
                                due ->
                                        new RegistryUpdates(world, limits, nowMillis)
                                                .remove(due.endpoint()))
                        .on(MoveReport.class, due -> true)
                        .on(RouterTimer.OwnershipCheck.class, due -> true)
                        .on(RouterTimer.EvidenceExpiry.class, due -> true)
                        .on(RouterTimer.PermitCheck.class, due -> true)
                        .on(RouterTimer.RolloutCheck.class, due -> true)
                        .on(
                                UsageHoldTimeout.class,
                                due -> Settlements.finishAnswer(world, due.key()));
        world.timers().takeDue(nowMillis).forEach(failures.guard(handlers::apply));
    }

    private static boolean expire(RouterWorld world, RequestId id) {
        Optional<RequestRow> row = world.requests().find(id);
        row.ifPresent(
                found -> RequestCompletion.refuse(world, found, deadlineCode(found), "deadline"));
        return row.isPresent();
    }

    private static ResultCode deadlineCode(RequestRow row) {
        return row.stage() == Stage.QUEUED ? ResultCode.OVERLOADED : ResultCode.DEADLINE_EXCEEDED;
    }

    private static boolean expireQueued(RouterWorld world, RequestId id) {
        Optional<RequestRow> row =
                world.requests()
                        .find(id)
                        .filter(
                                found ->
                                        found.stage() == Stage.QUEUED
                                                && found.deliveredTokens() == 0);
        row.ifPresent(
                found ->
                        RequestCompletion.refuse(
                                world,
                                found,
                                ResultCode.OVERLOADED,
                                "queued too long for the latency objective"));
        return row.isPresent();
    }

    private boolean expireReserve(RouterWorld world, RequestId id, long nowMillis) {
        Optional<RequestRow> row =
                world.requests().find(id).filter(found -> found.stage() == Stage.RESERVING);
        row.flatMap(RequestRow::keeper).ifPresent(keeper -> markSilent(world, keeper, nowMillis));
        row.ifPresent(found -> askAnotherKeeper(world, found, nowMillis));
        return row.isPresent();
    }

    /** Lets other keepers be asked for a while; the connection may be sound and the keeper slow. */
    private static void markSilent(RouterWorld world, Incarnation keeper, long nowMillis) {
        boolean isLocal = world.localKeeper().filter(keeper::equals).isPresent();
        if (!isLocal && world.keepers().contains(keeper) && world.silentKeepers().add(keeper)) {
            world.timers()
                    .set(new RouterTimer.KeeperRetrial(keeper), nowMillis + KEEPER_RETRIAL_MILLIS);
            world.note(
                    EventKind.KEEPER_SILENT,
                    keeper,
                    "no answer within the timeout, keepers=" + world.keepers().size());
        }
    }

    private void askAnotherKeeper(RouterWorld world, RequestRow row, long nowMillis) {
        RequestId id = row.spec().id();
        if (world.remainingLenders().has(id)) {
            Borrowing.askNextLender(world, row, List.of(), limits, nowMillis);
        } else {
            world.timers().set(new ReserveTimeout(id), nowMillis + limits.reserveTimeoutMillis());
            Admission.askKeeper(world, row);
        }
    }

    private boolean checkSilence(RouterWorld world, AttemptSilenceCheck due, long nowMillis) {
        Optional<AttemptRow> attempt = world.attempts().find(due.attempt());
        attempt.ifPresent(row -> checkSilence(world, row, nowMillis));
        return attempt.isPresent();
    }

    /**
     * Frees the endpoint's memory while the caller does not read, unless no other attempt could
     * continue the answer.
     */
    private void handlePause(RouterWorld world, AttemptRow row, long nowMillis) {
        boolean isContinuable =
                world.requests()
                        .find(row.request())
                        .filter(request -> request.spec().route().repeatable())
                        .filter(RequestRow::resumable)
                        .isPresent();
        if (isContinuable) {
            park(world, row);
        } else {
            world.timers()
                    .set(
                            new AttemptSilenceCheck(row.id()),
                            nowMillis + limits.pauseTimeoutMillis());
        }
    }

    private static void park(RouterWorld world, AttemptRow row) {
        RequestCompletion.closeAttempt(world, row.id());
        world.send(new RouterOutput.CancelAttempt(row.id()));
        world.requests().update(row.request(), RequestRow::parked);
        world.note(EventKind.ATTEMPT_PARKED, row.id(), "position=" + row.nextPosition());
    }

    private void checkSilence(RouterWorld world, AttemptRow row, long nowMillis) {
        long timeoutMillis = silenceTimeoutMillis(row);
        long dueMillis = row.lastProgressMillis() + timeoutMillis;
        if (row.paused()) {
            handlePause(world, row, nowMillis);
        } else if (nowMillis < dueMillis) {
            world.timers().set(new AttemptSilenceCheck(row.id()), dueMillis);
        } else {
            waitingRequest(world, row)
                    .ifPresentOrElse(
                            request ->
                                    new SilenceDetection(world, limits, nowMillis)
                                            .check(row, request, timeoutMillis),
                            () -> failSilent(world, row));
        }
    }

    private static void failSilent(RouterWorld world, AttemptRow row) {
        world.inbox()
                .add(
                        new RouterInput.AttemptFailed(
                                row.id(),
                                RunState.UNKNOWN,
                                "no data from the endpoint within the timeout"));
    }

    private long silenceTimeoutMillis(AttemptRow row) {
        boolean hasProgress = row.lastProgressMillis() > row.startedMillis();
        return hasProgress ? limits.stallTimeoutMillis() : limits.firstTokenTimeoutMillis();
    }

    /** Returns the attempt's request if its route waits for silent endpoints. */
    private static Optional<RequestRow> waitingRequest(RouterWorld world, AttemptRow row) {
        return world.requests()
                .find(row.request())
                .filter(found -> found.spec().route().options().waitsForSilentEndpoint());
    }
}

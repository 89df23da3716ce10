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

    /** Less than the quarter of a second past a route's timeout from which an answer is overdue. */
    private static final long MAX_UNCERTAINTY_MILLIS = 200;

    private static final TickDispatch<RouterTick, RouterTimer> HANDLERS =
            TickDispatch.<RouterTick, RouterTimer>empty()
                    .on(RequestDeadline.class, (tick, due) -> expire(tick, due.request()))
                    .on(ReserveTimeout.class, RouterTimerSystem::expireReserve)
                    .on(RouterTimer.KeeperRetrial.class, RouterTimerSystem::endSilence)
                    .on(AttemptSilenceCheck.class, RouterTimerSystem::checkSilence)
                    .on(
                            QueueTimeout.class,
                            (tick, due) -> expireQueued(tick.world(), due.request()))
                    .on(WithdrawalDue.class, (tick, due) -> tick.registry().remove(due.endpoint()))
                    .on(MoveReport.class, (tick, due) -> true)
                    .on(RouterTimer.OwnershipCheck.class, (tick, due) -> true)
                    .on(RouterTimer.EvidenceExpiry.class, (tick, due) -> true)
                    .on(RouterTimer.PermitCheck.class, (tick, due) -> true)
                    .on(RouterTimer.RolloutCheck.class, (tick, due) -> true)
                    .on(RouterTimer.PathCheck.class, RouterTimerSystem::checkPaths)
                    .on(
                            UsageHoldTimeout.class,
                            (tick, due) -> Settlements.finishAnswer(tick.world(), due.key()));

    @Override
    public void run(RouterWorld world, long nowMillis) {
        RouterTick tick = new RouterTick(world, limits, nowMillis);
        world.timers().takeDue(nowMillis).forEach(failures.guard(due -> HANDLERS.apply(tick, due)));
    }

    private static boolean checkPaths(RouterTick tick, RouterTimer.PathCheck due) {
        tick.paths().check();
        return true;
    }

    private static boolean endSilence(RouterTick tick, RouterTimer.KeeperRetrial due) {
        return tick.world().silentKeepers().remove(due.keeper());
    }

    private static boolean expire(RouterTick tick, RequestId id) {
        Optional<RequestRow> row = tick.world().requests().find(id);
        row.ifPresent(found -> expire(tick, found));
        return row.isPresent();
    }

    /** Leaves a begun answer the time by which its request may have arrived later than assumed. */
    private static void expire(RouterTick tick, RequestRow row) {
        RequestSpec spec = row.spec();
        long lastMillis =
                spec.deadlineMillis()
                        + Math.min(
                                spec.traits().arrivalUncertaintyMillis(), MAX_UNCERTAINTY_MILLIS);
        if (row.deliveredTokens() > 0 && tick.nowMillis() < lastMillis) {
            tick.world().timers().set(new RequestDeadline(spec.id()), lastMillis);
        } else {
            RequestCompletion.refuse(tick.world(), row, deadlineCode(row), "deadline");
        }
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

    private static boolean expireReserve(RouterTick tick, ReserveTimeout due) {
        Optional<RequestRow> row =
                tick.world()
                        .requests()
                        .find(due.request())
                        .filter(found -> found.stage() == Stage.RESERVING);
        row.ifPresent(found -> expireReserve(tick, found));
        return row.isPresent();
    }

    private static void expireReserve(RouterTick tick, RequestRow row) {
        row.keeper()
                .filter(tick.world().keepers()::contains)
                .filter(keeper -> mayHaveAnswered(tick, row, keeper))
                .ifPresentOrElse(
                        keeper -> await(tick, row, keeper), () -> passOverKeeper(tick, row));
    }

    /** Returns true if this VM was late while it waited, and has not been for too long. */
    private static boolean mayHaveAnswered(RouterTick tick, RequestRow row, Incarnation keeper) {
        TimeoutEvidence evidence = new TimeoutEvidence(tick.world(), tick.nowMillis());
        return !evidence.counts(tick.nowMillis() - reserveWaitMillis(tick, row))
                && tick.world()
                        .lateness()
                        .awaitedKeepers()
                        .find(keeper)
                        .filter(evidence::exceedsLateness)
                        .isEmpty();
    }

    /** Waits for the answer again; another question would only add to the queue before it. */
    private static void await(RouterTick tick, RequestRow row, Incarnation keeper) {
        RouterWorld world = tick.world();
        if (!world.lateness().awaitedKeepers().has(keeper)) {
            world.lateness().awaitedKeepers().put(keeper, tick.nowMillis());
            world.note(EventKind.KEEPER_AWAITED, keeper, world.load().toString());
        }
        setReserveTimeout(tick, row);
    }

    private static void passOverKeeper(RouterTick tick, RequestRow row) {
        row.keeper().ifPresent(keeper -> markSilent(tick.world(), keeper, tick.nowMillis()));
        askAnotherKeeper(tick, row);
    }

    private static long reserveWaitMillis(RouterTick tick, RequestRow row) {
        return tick.world().remainingLenders().has(row.spec().id())
                ? tick.limits().lenderTimeoutMillis()
                : tick.limits().reserveTimeoutMillis();
    }

    private static void setReserveTimeout(RouterTick tick, RequestRow row) {
        tick.world()
                .timers()
                .set(
                        new ReserveTimeout(row.spec().id()),
                        tick.nowMillis() + reserveWaitMillis(tick, row));
    }

    /** Lets other keepers be asked for a while; the connection may be sound and the keeper slow. */
    private static void markSilent(RouterWorld world, Incarnation keeper, long nowMillis) {
        boolean isLocal = world.localKeeper().filter(keeper::equals).isPresent();
        world.lateness().awaitedKeepers().remove(keeper);
        if (!isLocal && world.keepers().contains(keeper) && world.silentKeepers().add(keeper)) {
            world.timers()
                    .set(new RouterTimer.KeeperRetrial(keeper), nowMillis + KEEPER_RETRIAL_MILLIS);
            world.note(
                    EventKind.KEEPER_SILENT,
                    keeper,
                    "no answer within the timeout, keepers=" + world.keepers().size());
        }
    }

    private static void askAnotherKeeper(RouterTick tick, RequestRow row) {
        RequestId id = row.spec().id();
        if (tick.world().remainingLenders().has(id)) {
            Borrowing.askNextLender(tick.world(), row, List.of(), tick.limits(), tick.nowMillis());
        } else {
            setReserveTimeout(tick, row);
            Admission.askKeeper(tick.world(), row);
        }
    }

    private static boolean checkSilence(RouterTick tick, AttemptSilenceCheck due) {
        Optional<AttemptRow> attempt = tick.world().attempts().find(due.attempt());
        attempt.ifPresent(row -> checkSilence(tick, row));
        return attempt.isPresent();
    }

    /**
     * Frees the endpoint's memory while the caller does not read, unless no other attempt could
     * continue the answer.
     */
    private static void handlePause(RouterTick tick, AttemptRow row) {
        boolean isContinuable =
                tick.world()
                        .requests()
                        .find(row.request())
                        .filter(request -> request.spec().route().repeatable())
                        .filter(RequestRow::resumable)
                        .isPresent();
        if (isContinuable) {
            park(tick.world(), row);
        } else {
            tick.world()
                    .timers()
                    .set(
                            new AttemptSilenceCheck(row.id()),
                            tick.nowMillis() + tick.limits().pauseTimeoutMillis());
        }
    }

    private static void park(RouterWorld world, AttemptRow row) {
        RequestCompletion.closeAttempt(world, row.id());
        world.send(new RouterOutput.CancelAttempt(row.id()));
        world.requests().update(row.request(), RequestRow::parked);
        world.note(EventKind.ATTEMPT_PARKED, row.id(), "position=" + row.nextPosition());
    }

    private static void checkSilence(RouterTick tick, AttemptRow row) {
        Optional<RequestRow> request = tick.world().requests().find(row.request());
        long timeoutMillis = SilenceLimit.timeoutMillis(row, tick.limits());
        long dueMillis =
                request.map(found -> SilenceLimit.noticeMillis(found, row, tick.limits()))
                        .orElse(row.lastProgressMillis() + timeoutMillis);
        if (row.paused()) {
            handlePause(tick, row);
        } else if (tick.nowMillis() < dueMillis) {
            tick.world().timers().set(new AttemptSilenceCheck(row.id()), dueMillis);
        } else {
            request.filter(found -> found.spec().route().options().waitsForSilentEndpoint())
                    .ifPresentOrElse(
                            found -> tick.silences().check(row, found, timeoutMillis),
                            () -> failSilent(tick.world(), row));
        }
    }

    private static void failSilent(RouterWorld world, AttemptRow row) {
        world.inbox()
                .add(
                        new RouterInput.AttemptFailed(
                                row.id(),
                                RunState.UNKNOWN,
                                "no data from the endpoint within the timeout",
                                RouterInput.AttemptFailed.Cause.TIMED_OUT));
    }
}

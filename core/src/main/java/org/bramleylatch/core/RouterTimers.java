package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RequestRow.Stage;
import org.bramleylatch.core.RouterTimer.AttemptCheck;
import org.bramleylatch.core.RouterTimer.HoldWait;
import org.bramleylatch.core.RouterTimer.MoveReport;
import org.bramleylatch.core.RouterTimer.QueueWait;
import org.bramleylatch.core.RouterTimer.RequestDeadline;
import org.bramleylatch.core.RouterTimer.ReserveWait;
import org.bramleylatch.core.RouterTimer.WithdrawalDue;

/** Acts on the deadlines that have passed. */
record RouterTimers(RouterLimits limits) implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        Dispatch<RouterTimer, Boolean> handlers =
                Dispatch.<RouterTimer, Boolean>empty()
                        .on(RequestDeadline.class, due -> expire(world, due.request()))
                        .on(
                                ReserveWait.class,
                                due -> giveUpReserve(world, due.request(), nowMillis))
                        .on(AttemptCheck.class, due -> check(world, due, nowMillis))
                        .on(QueueWait.class, due -> giveUpQueue(world, due.request()))
                        .on(
                                WithdrawalDue.class,
                                due ->
                                        new RegistryView(world, limits, nowMillis)
                                                .remove(due.endpoint()))
                        .on(MoveReport.class, due -> true)
                        .on(HoldWait.class, due -> Settlements.held(world, due.key()));
        world.timers().takeDue(nowMillis).forEach(handlers::apply);
    }

    private static boolean expire(RouterWorld world, RequestId id) {
        Optional<RequestRow> row = world.requests().find(id);
        row.ifPresent(found -> Outcomes.refuse(world, found, late(found), "deadline"));
        return row.isPresent();
    }

    private static ResultCode late(RequestRow row) {
        return row.stage() == Stage.QUEUED ? ResultCode.OVERLOADED : ResultCode.DEADLINE_EXCEEDED;
    }

    private static boolean giveUpQueue(RouterWorld world, RequestId id) {
        Optional<RequestRow> row =
                world.requests()
                        .find(id)
                        .filter(found -> found.stage() == Stage.QUEUED && found.position() == 0);
        row.ifPresent(
                found -> Outcomes.refuse(world, found, ResultCode.OVERLOADED, "queued too long"));
        return row.isPresent();
    }

    private boolean giveUpReserve(RouterWorld world, RequestId id, long nowMillis) {
        Optional<RequestRow> row =
                world.requests().find(id).filter(found -> found.stage() == Stage.RESERVING);
        row.flatMap(RequestRow::keeper).ifPresent(keeper -> silent(world, keeper));
        row.ifPresent(found -> askAnother(world, found, nowMillis));
        return row.isPresent();
    }

    private static void silent(RouterWorld world, Incarnation keeper) {
        world.keepers().remove(keeper);
        world.note(EventKind.KEEPER_LOST, keeper, "silent, keepers=" + world.keepers().size());
    }

    private void askAnother(RouterWorld world, RequestRow row, long nowMillis) {
        RequestId id = row.spec().id();
        if (world.lenders().has(id)) {
            Lending.refused(world, row, List.of(), limits, nowMillis);
        } else {
            world.timers().set(new ReserveWait(id), nowMillis + limits.reserveMillis());
            Admission.askKeeper(world, row);
        }
    }

    private boolean check(RouterWorld world, AttemptCheck due, long nowMillis) {
        Optional<AttemptRow> attempt = world.attempts().find(due.attempt());
        attempt.ifPresent(row -> check(world, row, nowMillis));
        return attempt.isPresent();
    }

    /** Frees the endpoint's memory while the caller does not read. */
    private static void park(RouterWorld world, AttemptRow row) {
        Outcomes.closeAttempt(world, row.id());
        world.send(new RouterOutput.CancelAttempt(row.id()));
        world.requests().update(row.request(), RequestRow::parked);
        world.note(EventKind.ATTEMPT_PARKED, row.id(), "position=" + row.nextPosition());
    }

    private void check(RouterWorld world, AttemptRow row, long nowMillis) {
        long silentMillis = silentMillis(row);
        long dueMillis = row.progressMillis() + silentMillis;
        if (row.paused()) {
            park(world, row);
        } else if (nowMillis < dueMillis) {
            world.timers().set(new AttemptCheck(row.id()), dueMillis);
        } else if (isWaitedOut(world, row, nowMillis)) {
            world.timers().set(new AttemptCheck(row.id()), nowMillis + silentMillis);
        } else {
            world.inbox()
                    .add(
                            new RouterInput.AttemptFailed(
                                    row.id(), RunState.UNKNOWN, "silent endpoint"));
        }
    }

    private long silentMillis(AttemptRow row) {
        boolean begun = row.progressMillis() > row.startedMillis();
        return begun ? limits.stallMillis() : limits.firstTokenMillis();
    }

    private boolean isWaitedOut(RouterWorld world, AttemptRow row, long nowMillis) {
        Optional<RequestRow> request = world.requests().find(row.request());
        return request.filter(found -> found.spec().route().terms().waitsOutSilence())
                .filter(found -> !Retries.allows(world, limits, found, true, nowMillis))
                .isPresent();
    }
}

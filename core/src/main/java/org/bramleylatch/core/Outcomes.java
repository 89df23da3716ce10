package org.bramleylatch.core;

import java.util.Optional;
import java.util.Set;

/** Ends requests: tells the caller, gives back or settles tokens, removes the rows. */
final class Outcomes {
    private static final Set<ResultCode> ALREADY_RAN = Set.of(ResultCode.USAGE_ALREADY_SETTLED);
    private static final Set<ResultCode> OTHER_RUN_UNKNOWN =
            Set.of(
                    ResultCode.REQUEST_IN_PROGRESS,
                    ResultCode.OUTCOME_UNKNOWN,
                    ResultCode.IDEMPOTENCY_KEY_EXPIRED);

    private Outcomes() {}

    /** Returns what may truthfully be said of a request's run when it is refused with the code. */
    static RunState knownRun(ResultCode code, RunState ran) {
        if (ALREADY_RAN.contains(code)) {
            return RunState.RAN;
        }
        return ran == RunState.NOT_RUN && OTHER_RUN_UNKNOWN.contains(code) ? RunState.UNKNOWN : ran;
    }

    /** Refuses the request or breaks its answer off; what reached the caller is billed. */
    static void refuse(RouterWorld world, RequestRow row, ResultCode code, String detail) {
        cancelAttempt(world, row);
        RunState ran = knownRun(code, row.ran());
        world.send(new RouterOutput.Refuse(row.spec().id(), code, ran, detail));
        world.note(
                EventKind.REQUEST_REFUSED,
                row.spec().key(),
                code
                        + " "
                        + ran
                        + " request="
                        + row.spec().id()
                        + " stage="
                        + row.stage()
                        + " "
                        + detail);
        endClaim(world, row);
        billDelivered(world, row);
        forget(world, row);
    }

    /** Ends a request whose caller hung up; what reached the caller is billed. */
    static void abandon(RouterWorld world, RequestRow row) {
        cancelAttempt(world, row);
        world.note(
                EventKind.REQUEST_REFUSED,
                row.spec().key(),
                "caller gone request=" + row.spec().id() + " stage=" + row.stage());
        endClaim(world, row);
        billDelivered(world, row);
        forget(world, row);
    }

    /** Passes a service's answer on. */
    static void deliverService(RouterWorld world, RequestRow row, int status, String body) {
        world.send(new RouterOutput.DeliverService(row.spec().id(), status, body));
        world.note(EventKind.REQUEST_FINISHED, row.spec().key(), "status=" + status);
        release(world, row);
        forget(world, row);
    }

    /** Removes the request's rows and deadlines. */
    static void forget(RouterWorld world, RequestRow row) {
        RequestId id = row.spec().id();
        world.requests().remove(id);
        world.requestsByKey().remove(row.spec().key());
        world.queued().remove(id);
        world.lenders().remove(id);
        world.timers().clear(new RouterTimer.RequestDeadline(id));
        world.timers().clear(new RouterTimer.ReserveWait(id));
        world.timers().clear(new RouterTimer.QueueWait(id));
    }

    /** Ends the request's running attempt at its endpoint. */
    static void cancelAttempt(RouterWorld world, RequestRow row) {
        Optional<AttemptRow> attempt = row.attempt().flatMap(id -> closeAttempt(world, id));
        attempt.map(AttemptRow::id).map(RouterOutput.CancelAttempt::new).ifPresent(world::send);
    }

    /** Removes an attempt and gives its room at the endpoint back. */
    static Optional<AttemptRow> closeAttempt(RouterWorld world, AttemptId id) {
        Optional<AttemptRow> attempt = world.attempts().remove(id);
        attempt.ifPresent(
                row ->
                        world.endpoints()
                                .update(
                                        row.endpoint(),
                                        e -> e.ended(row.heldTokens(), row.unreadTokens())));
        world.timers().clear(new RouterTimer.AttemptCheck(id));
        return attempt;
    }

    private static void billDelivered(RouterWorld world, RequestRow row) {
        boolean free =
                row.ran() == RunState.NOT_RUN
                        || row.position() == 0 && !row.spec().route().terms().billsUnanswered();
        long tokens = free ? 0 : row.spec().promptTokens() + row.position();
        if (tokens > 0 && row.grant().isPresent()) {
            Settlements.open(world, row, tokens, Optional.empty());
        } else {
            release(world, row);
        }
    }

    private static void release(RouterWorld world, RequestRow row) {
        boolean settling = world.settlements().has(row.spec().key());
        Optional<Incarnation> keeper = row.keeper().filter(k -> row.grant().isPresent());
        if (keeper.isPresent() && !settling) {
            world.send(
                    new RouterOutput.ToKeeper(
                            keeper.get(),
                            new KeeperInput.ReservationReleased(world.self(), row.spec().key())));
        }
    }

    private static void endClaim(RouterWorld world, RequestRow row) {
        boolean claimed = row.spec().route().isClaimed() && hasClaim(row);
        Optional<Incarnation> keeper = world.keeperOf(row.spec().budget());
        if (claimed && row.ran() == RunState.NOT_RUN && keeper.isPresent()) {
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

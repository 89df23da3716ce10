package org.bramleylatch.core;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bramleylatch.core.RequestRow.Stage;

/**
 * Ends the requests that nothing will take any further: each open request has one owner, such as a
 * timer, a queue or an attempt, that depends on its stage. A request that lacks its owner at two
 * checks in a row is refused. Attempts whose request has ended are cancelled.
 */
final class OwnershipSystem implements TickSystem<RouterWorld> {
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    private final FailureHandler failures;
    private Set<RequestId> suspects = Set.of();

    /**
     * Creates the system.
     *
     * @param failures handles the exception of a request that can't be checked or ended
     */
    OwnershipSystem(FailureHandler failures) {
        this.failures = failures;
    }

    @Override
    public void run(RouterWorld world, long nowMillis) {
        RouterTimer check = new RouterTimer.OwnershipCheck();
        boolean isIdle = world.requests().size() == 0 && world.attempts().size() == 0;
        if (!isIdle && !world.timers().has(check)) {
            world.timers().set(check, nowMillis + CHECK_INTERVAL_MILLIS);
            cancelOrphanedAttempts(world);
            endUnownedRequests(world);
        }
    }

    private static void cancelOrphanedAttempts(RouterWorld world) {
        List<AttemptRow> orphans =
                world.attempts()
                        .where(
                                attempt ->
                                        world.requests()
                                                .find(attempt.request())
                                                .flatMap(RequestRow::attempt)
                                                .filter(attempt.id()::equals)
                                                .isEmpty());
        orphans.forEach(
                attempt -> {
                    RequestCompletion.closeAttempt(world, attempt.id());
                    world.send(new RouterOutput.CancelAttempt(attempt.id()));
                    world.note(
                            EventKind.ATTEMPT_FAILED,
                            attempt.id(),
                            attempt.endpoint() + " cancelled, as its request has ended");
                });
    }

    private void endUnownedRequests(RouterWorld world) {
        Set<RequestId> unowned = new HashSet<>();
        world.requests()
                .where(row -> true)
                .forEach(failures.guard(row -> check(world, row, unowned)));
        suspects = unowned;
    }

    private void check(RouterWorld world, RequestRow row, Set<RequestId> unowned) {
        RequestId id = row.spec().id();
        if (lacksOwner(world, row) && !suspects.contains(id)) {
            unowned.add(id);
        } else if (lacksOwner(world, row)) {
            RequestCompletion.refuse(
                    world, row, codeOf(row), "nothing takes the request any further");
        }
    }

    private static ResultCode codeOf(RequestRow row) {
        return row.stage() == Stage.CLAIMING ? ResultCode.LOG_UNAVAILABLE : ResultCode.INTERNAL;
    }

    private static boolean lacksOwner(RouterWorld world, RequestRow row) {
        RequestId id = row.spec().id();
        boolean hasEnd =
                row.stage() == Stage.SETTLING
                        || world.timers().has(new RouterTimer.RequestDeadline(id));
        return !hasEnd || !isTakenFurther(world, row);
    }

    private static boolean isTakenFurther(RouterWorld world, RequestRow row) {
        RequestId id = row.spec().id();
        return switch (row.stage()) {
            case RESERVING -> world.timers().has(new RouterTimer.ReserveTimeout(id));
            case CLAIMING -> row.keeper().filter(world.keepers()::contains).isPresent();
            case QUEUED -> world.queuedRequests().contains(id);
            case RUNNING -> row.attempt().filter(world.attempts()::has).isPresent();
            // The caller's connection ends the wait.
            case PARKED -> true;
            case SETTLING -> isSettling(world, row);
        };
    }

    private static boolean isSettling(RouterWorld world, RequestRow row) {
        RequestKey key = row.spec().key();
        Optional<RequestId> waiting =
                world.settlements().find(key).flatMap(SettlementRow::unfinishedRequest);
        return waiting.filter(row.spec().id()::equals).isPresent()
                && world.timers().has(new RouterTimer.UsageHoldTimeout(key));
    }
}

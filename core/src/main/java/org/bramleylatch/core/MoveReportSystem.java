package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Reports a router's attempt counts of planned moves to keepers, at most once per reporting
 * interval but without delay after the router has stopped a new version.
 */
record MoveReportSystem(RouterLimits limits) implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.moves().size() == 0 || nowMillis < world.nextMoveReportMillis()) {
            return;
        }
        List<RouterMoveRow> unreported = world.moves().where(RouterMoveRow::hasUnreportedAttempts);
        unreported.forEach(row -> report(world, row));
        if (!unreported.isEmpty()) {
            world.setNextMoveReportMillis(nowMillis + limits.moveReportIntervalMillis());
            world.timers()
                    .set(
                            new RouterTimer.MoveReport(),
                            nowMillis + limits.moveReportIntervalMillis());
        }
    }

    /**
     * Counts a completed attempt if its route has a planned move.
     *
     * @param firstTokenMillis the time to the first token; empty if none arrived
     */
    static void countAttempt(
            RouterWorld world,
            RequestRow request,
            EndpointId endpoint,
            boolean succeeded,
            Optional<Long> firstTokenMillis) {
        Optional<RouterMoveRow> before = world.moveOf(request.spec());
        Optional<Version> version = world.endpoints().find(endpoint).map(EndpointRow::version);
        if (before.isPresent() && version.isPresent()) {
            RouterMoveRow after =
                    before.get().withAttempt(version.get(), succeeded, firstTokenMillis);
            world.moves().put(after.move().spec().route(), after);
            recordVersionStop(world, before.get(), after);
        }
    }

    /**
     * Counts a failed attempt at the new version for a request that falls back to the old one,
     * since no endpoint of the new one accepts it.
     */
    static void countFallbackToOldVersion(RouterWorld world, RequestRow request) {
        world.moveOf(request.spec())
                .ifPresent(
                        before -> {
                            Version newVersion = before.move().spec().to();
                            RouterMoveRow after =
                                    before.withAttempt(newVersion, false, Optional.empty());
                            world.moves().put(after.move().spec().route(), after);
                            recordVersionStop(world, before, after);
                        });
    }

    /** Records the event that the new version was stopped and makes the next report due at once. */
    private static void recordVersionStop(
            RouterWorld world, RouterMoveRow before, RouterMoveRow after) {
        if (!before.isNewVersionStopped() && after.isNewVersionStopped()) {
            world.setNextMoveReportMillis(0);
            RouteName route = after.move().spec().route();
            world.note(EventKind.VERSION_STOPPED, route, "version=" + after.move().spec().to());
        }
    }

    /**
     * Reports to the keeper that {@link RouterWorld#keeperOf} selects for the route's name, which
     * is used like a budget's. While no keeper is connected, the counts are kept.
     */
    private static void report(RouterWorld world, RouterMoveRow row) {
        MoveSpec spec = row.move().spec();
        Optional<Incarnation> keeper = world.keeperOf(BudgetId.of(spec.route().value()));
        keeper.ifPresent(
                keeperId -> {
                    world.send(
                            new RouterOutput.ToKeeper(
                                    keeperId,
                                    new KeeperInput.MoveReported(
                                            new LedgerRecord.MoveObserved(
                                                    spec.route(),
                                                    spec.to(),
                                                    row.move().stage(),
                                                    row.oldAttempts(),
                                                    row.newAttempts(),
                                                    row.isNewVersionStopped()))));
                    world.moves().put(spec.route(), row.markReported());
                });
    }
}

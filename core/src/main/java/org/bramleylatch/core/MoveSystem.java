package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Reports what a router saw of moves to a keeper, now and then, and at once when it is bad. */
record MoveSystem(RouterLimits limits) implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.moves().size() == 0 || nowMillis < world.nextMoveReportMillis()) {
            return;
        }
        List<MoveWatch> news = world.moves().where(MoveWatch::hasNews);
        news.forEach(watch -> report(world, watch));
        if (!news.isEmpty()) {
            world.setNextMoveReport(nowMillis + limits.moveReportMillis());
            world.timers().set(new RouterTimer.MoveReport(), nowMillis + limits.moveReportMillis());
        }
    }

    /** Counts an attempt that ended, if its route moves. */
    static void attempted(
            RouterWorld world,
            RequestRow request,
            EndpointId endpoint,
            boolean wentWell,
            Optional<Long> firstTokenMillis) {
        RouteName route = request.spec().route().name();
        Optional<MoveWatch> before = world.moves().find(route);
        Optional<Version> version = world.endpoints().find(endpoint).map(EndpointRow::version);
        if (before.isPresent() && version.isPresent()) {
            MoveWatch after = before.get().attempted(version.get(), wentWell, firstTokenMillis);
            world.moves().put(route, after);
            noteStop(world, before.get(), after);
        }
    }

    /** Counts a request that fell to the new version and found no open endpoint of it. */
    static void unserved(RouterWorld world, RequestRow request) {
        RouteName route = request.spec().route().name();
        world.moves()
                .find(route)
                .ifPresent(
                        before -> {
                            Version fresh = before.move().spec().to();
                            MoveWatch after = before.attempted(fresh, false, Optional.empty());
                            world.moves().put(route, after);
                            noteStop(world, before, after);
                        });
    }

    private static void noteStop(RouterWorld world, MoveWatch before, MoveWatch after) {
        if (!before.stopped() && after.stopped()) {
            world.setNextMoveReport(0);
            RouteName route = after.move().spec().route();
            world.note(EventKind.VERSION_STOPPED, route, "version=" + after.move().spec().to());
        }
    }

    private static void report(RouterWorld world, MoveWatch watch) {
        MoveSpec spec = watch.move().spec();
        Optional<Incarnation> keeper = world.keeperOf(BudgetId.of(spec.route().value()));
        keeper.ifPresent(
                to -> {
                    world.send(
                            new RouterOutput.ToKeeper(
                                    to,
                                    new KeeperInput.MoveSeen(
                                            new LedgerRecord.MoveObserved(
                                                    spec.route(),
                                                    spec.to(),
                                                    watch.move().stage(),
                                                    watch.old(),
                                                    watch.fresh(),
                                                    watch.stopped()))));
                    world.moves().put(spec.route(), watch.reported());
                });
    }
}

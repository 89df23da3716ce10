package org.bramleylatch.core;

import java.util.List;

/**
 * Sends every changed move to all routers known to this keeper, and sets the timer for the deadline
 * of a running move.
 */
final class MoveAnnouncementSystem implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.ledger().moves().size() > 0) {
            List<MoveRow> changed =
                    world.ledger().moves().where(move -> isUnannounced(world, move));
            changed.forEach(move -> announce(world, move));
        }
    }

    private static boolean isUnannounced(KeeperWorld world, MoveRow move) {
        long announcedRevision =
                world.announcedMoveRevisions().find(move.spec().route()).orElse(-1L);
        return announcedRevision < move.revision();
    }

    private static void announce(KeeperWorld world, MoveRow move) {
        RouteName route = move.spec().route();
        world.announcedMoveRevisions().put(route, move.revision());
        world.routers()
                .forEach(router -> world.outbox().add(new KeeperOutput.MoveChanged(router, move)));
        KeeperTimer deadline = new KeeperTimer.MoveDeadline(route);
        if (move.isRunning()) {
            world.timers().set(deadline, move.spec().deadlineMillis());
        } else {
            world.timers().clear(deadline);
        }
        String detail = move.state() + " stage=" + move.stage() + " " + move.reason();
        world.note(EventKind.MOVE_ADVANCED, route, detail);
    }
}

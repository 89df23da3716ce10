package org.bramleylatch.core;

import java.util.List;

/** Tells every router of moves that changed, and sees that a move ends at its deadline. */
final class MoveTellingSystem implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.ledger().moves().size() > 0) {
            List<MoveRow> changed = world.ledger().moves().where(move -> isNews(world, move));
            changed.forEach(move -> tell(world, move));
        }
    }

    private static boolean isNews(KeeperWorld world, MoveRow move) {
        long told = world.toldMoves().find(move.spec().route()).orElse(-1L);
        return told < move.revision();
    }

    private static void tell(KeeperWorld world, MoveRow move) {
        RouteName route = move.spec().route();
        world.toldMoves().put(route, move.revision());
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

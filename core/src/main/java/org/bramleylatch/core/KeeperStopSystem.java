package org.bramleylatch.core;

import java.util.List;

/** Returns idle tokens during a planned stop and reports once nothing is reserved or unsettled. */
final class KeeperStopSystem implements TickSystem<KeeperWorld> {
    private boolean stopReported;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (!world.isStopping() || stopReported) {
            return;
        }
        List<GrantUseRow> withoutInFlight =
                world.grantUses().where(row -> row.returningTokens() == 0 && !row.askInFlight());
        withoutInFlight.stream()
                .map(GrantUseRow::budget)
                .filter(budget -> world.idleTokens(budget) > 0)
                .sorted()
                .forEach(
                        budget ->
                                GrantSystem.returnTokens(world, budget, world.idleTokens(budget)));
        if (isSettled(world)) {
            stopReported = true;
            world.outbox().add(new KeeperOutput.Stopped());
        }
    }

    private static boolean isSettled(KeeperWorld world) {
        return world.waitingReservations().size() == 0
                && world.reservations().size() == 0
                && world.pendingUsages().size() == 0
                && world.writer().isIdle()
                && world.grantUses().rows().noneMatch(row -> row.committedTokens() > 0);
    }
}

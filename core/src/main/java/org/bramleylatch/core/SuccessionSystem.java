package org.bramleylatch.core;

import java.util.List;

/**
 * Freezes the grants of earlier incarnations of this process on the same VM. That this one runs is
 * proof that they are gone, so what they held no longer counts as demand.
 */
final class SuccessionSystem implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.isLogReachable()) {
            List<Incarnation> gone =
                    world.touched().stream()
                            .flatMap(budget -> world.ledger().grantsOf(budget).stream())
                            .filter(grant -> !grant.frozen())
                            .map(grant -> grant.key().holder())
                            .filter(world.self()::succeeds)
                            .distinct()
                            .toList();
            gone.forEach(holder -> freeze(world, holder));
        }
    }

    private static void freeze(KeeperWorld world, Incarnation holder) {
        if (world.freezing().add(holder)) {
            world.append(new LedgerRecord.HolderFrozen(holder));
            world.note(EventKind.HOLDER_FROZEN, holder, "succeeded by " + world.self());
        }
    }
}

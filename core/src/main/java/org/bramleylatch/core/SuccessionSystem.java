package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Takes over the grants of earlier incarnations of this process on the same VM. That this one runs
 * is proof that they are gone. What they may have used stays bound; the rest goes back at once
 * where their last stamp proves that they kept to their usable share.
 */
record SuccessionSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.isCaughtUp()) {
            List<Incarnation> gone =
                    world.touched().stream()
                            .flatMap(budget -> world.ledger().grantsOf(budget).stream())
                            .filter(grant -> !grant.frozen())
                            .map(grant -> grant.key().holder())
                            .filter(world.self()::succeeds)
                            .distinct()
                            .toList();
            gone.forEach(holder -> succeed(world, holder, nowMillis));
        }
    }

    private void succeed(KeeperWorld world, Incarnation holder, long nowMillis) {
        if (world.freezing().add(holder)) {
            Optional<HolderRow> row = world.ledger().holderRows().find(holder);
            boolean proved =
                    row.filter(found -> isWithinShare(world, found, nowMillis)).isPresent();
            world.append(
                    proved
                            ? new LedgerRecord.HolderSucceeded(holder, limits.usablePermille())
                            : new LedgerRecord.HolderFrozen(holder));
            world.note(
                    EventKind.HOLDER_FROZEN,
                    holder,
                    "successor=" + world.self() + " withinShare=" + proved + " last=" + row);
        }
    }

    private boolean isWithinShare(KeeperWorld world, HolderRow row, long nowMillis) {
        return limits.usablePermille() < UsableShareSystem.WHOLE_PERMILLE
                && row.endedWithin(limits.releasedAfterMillis(), nowMillis, world.bootMillis());
    }
}

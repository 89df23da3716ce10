package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Takes over the grants of earlier incarnations of this process on the same VM. That this one runs
 * is proof that they are gone. What they may have used stays bound; the rest goes back where their
 * last stamp proves that they kept to their usable share: by the steady clock of the VM, or after a
 * restart of the VM by the time of day that most of the fleet agrees on.
 */
record SuccessionSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    /** VMs that lost power together are back within this. */
    private static final long CLOCKS_WAIT_MILLIS = 3_000;

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
            gone.stream()
                    .filter(holder -> !world.freezing().contains(holder))
                    .forEach(world.predecessors()::add);
            List.copyOf(world.predecessors()).forEach(holder -> decide(world, holder, nowMillis));
        }
    }

    private void decide(KeeperWorld world, Incarnation holder, long nowMillis) {
        Optional<HolderRow> row = world.ledger().holderRows().find(holder);
        boolean proved = row.filter(found -> isWithinShare(world, found, nowMillis)).isPresent();
        long endMillis = world.startMillis() + CLOCKS_WAIT_MILLIS;
        boolean open = row.filter(HolderRow::clockAgreed).isPresent();
        if (proved || !open || nowMillis >= endMillis) {
            world.predecessors().remove(holder);
            succeed(world, holder, row, proved);
        } else {
            world.timers().set(new KeeperTimer.ClocksDue(), endMillis);
        }
    }

    private void succeed(
            KeeperWorld world, Incarnation holder, Optional<HolderRow> row, boolean proved) {
        if (world.freezing().add(holder)) {
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
        long spanMillis = limits.releasedAfterMillis();
        long startMillis = world.startMillis();
        boolean bySteadyClock = row.endedWithin(spanMillis, startMillis, world.bootMillis());
        boolean byVote =
                row.endedWithinByVote(spanMillis, startMillis, ClockVote.TOLERANCE_MILLIS)
                        && ClockVote.isWon(world, nowMillis);
        return limits.keepsToShare() && (bySteadyClock || byVote);
    }
}

package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Takes over the grants of earlier incarnations of this process on the same VM, which must have
 * ended because this one runs. The tokens that they may have used stay frozen. The rest is returned
 * to the budget if their last heartbeat proves that they kept to their usable share. The proof uses
 * the monotonic clock of the VM or, after a restart of the VM, the time of day that a majority of
 * the fleet agrees on.
 */
record SuccessionSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    /** VMs that lost power together are running again within this time. */
    private static final long CLOCK_WAIT_MILLIS = 3_000;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.isCaughtUp()) {
            List<Incarnation> predecessors =
                    world.changedBudgets().stream()
                            .flatMap(budget -> world.ledger().grantsOf(budget).stream())
                            .filter(grant -> !grant.frozen())
                            .map(grant -> grant.key().holder())
                            .filter(world.self()::isOtherRunOf)
                            .distinct()
                            .toList();
            predecessors.stream()
                    .filter(holder -> !world.takeoversInFlight().contains(holder))
                    .forEach(world.predecessors()::add);
            List.copyOf(world.predecessors())
                    .forEach(holder -> decideSuccession(world, holder, nowMillis));
        }
    }

    private void decideSuccession(KeeperWorld world, Incarnation holder, long nowMillis) {
        Optional<HolderRow> row = world.ledger().holders().find(holder);
        boolean isProved =
                row.filter(found -> endedWithinShare(world, found, nowMillis)).isPresent();
        long waitEndMillis = world.startMillis() + CLOCK_WAIT_MILLIS;
        boolean canStillBeProved = row.filter(HolderRow::clockAgreed).isPresent();
        if (isProved || !canStillBeProved || nowMillis >= waitEndMillis) {
            world.predecessors().remove(holder);
            appendTakeover(world, holder, row, isProved);
        } else {
            world.timers().set(new KeeperTimer.ClockTimeout(), waitEndMillis);
        }
    }

    private void appendTakeover(
            KeeperWorld world, Incarnation holder, Optional<HolderRow> row, boolean isProved) {
        if (world.takeoversInFlight().add(holder)) {
            world.append(
                    isProved
                            ? new LedgerRecord.HolderTakenOver(holder, limits.usablePermille())
                            : new LedgerRecord.HolderFrozen(holder));
            world.note(
                    EventKind.HOLDER_FROZEN,
                    holder,
                    "successor=" + world.self() + " withinShare=" + isProved + " last=" + row);
        }
    }

    private boolean endedWithinShare(KeeperWorld world, HolderRow row, long nowMillis) {
        long fullGrantAfterMillis = limits.fullGrantAfterMillis();
        long startMillis = world.startMillis();
        boolean byMonotonicClock =
                row.endedWithinByMonotonicClock(
                        fullGrantAfterMillis, startMillis, world.bootMillis());
        boolean byFleetClock =
                row.endedWithinByFleetClock(
                                fullGrantAfterMillis, startMillis, ClockAgreement.TOLERANCE_MILLIS)
                        && ClockAgreement.hasMajority(world, nowMillis);
        return limits.limitsUsableShare() && (byMonotonicClock || byFleetClock);
    }
}

package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Takes over the grants of earlier incarnations of this process on the same VM, which must have
 * ended because this one runs. The tokens that they may have spent by then stay frozen. The rest is
 * returned to the budget if it is known when they had ended at the latest: by the monotonic clock
 * of the VM or, after a restart of the VM, by the time of day that a majority of the fleet agrees
 * on.
 */
record SuccessionSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    /** VMs that lost power together are running again within this time. */
    private static final long CLOCK_WAIT_MILLIS = 3_000;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        boolean isSettled = world.transition().isEmpty() && world.ledger().statements().isSettled();
        if (world.isCaughtUp() && isSettled) {
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
        OptionalLong endMillis =
                row.map(found -> latestEnd(world, found, nowMillis)).orElse(OptionalLong.empty());
        long waitEndMillis = world.startMillis() + CLOCK_WAIT_MILLIS;
        boolean canStillBeProved = row.filter(HolderRow::clockAgreed).isPresent();
        if (endMillis.isPresent() || !canStillBeProved || nowMillis >= waitEndMillis) {
            world.predecessors().remove(holder);
            appendTakeover(world, holder, row, endMillis);
        } else {
            world.timers().set(new KeeperTimer.ClockTimeout(), waitEndMillis);
        }
    }

    private static void appendTakeover(
            KeeperWorld world, Incarnation holder, Optional<HolderRow> row, OptionalLong end) {
        if (world.takeoversInFlight().add(holder)) {
            world.append(
                    end.isPresent()
                            ? new LedgerRecord.HolderTakenOver(holder, end.getAsLong())
                            : new LedgerRecord.HolderFrozen(holder));
            world.note(
                    EventKind.HOLDER_FROZEN,
                    holder,
                    "successor=" + world.self() + " end=" + end + " last=" + row);
        }
    }

    private OptionalLong latestEnd(KeeperWorld world, HolderRow row, long nowMillis) {
        OptionalLong byMonotonicClock =
                row.endByMonotonicClock(world.startMillis(), world.bootMillis());
        if (!limits.spendingLimited()) {
            return OptionalLong.empty();
        }
        return byMonotonicClock.isPresent() || !ClockAgreement.hasMajority(world, nowMillis)
                ? byMonotonicClock
                : row.endByFleetClock(world.startMillis(), ClockAgreement.TOLERANCE_MILLIS);
    }
}

package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Changes a keeper's reservations and its use of the grants that their tokens come from. */
final class Reservations {

    private Reservations() {}

    /** Removes the reservation, waiting or held, and frees its tokens; false if there is none. */
    static boolean remove(KeeperWorld world, RequestKey key) {
        Optional<ReservationRow> waiting = world.waitingReservations().remove(key);
        Optional<ReservationRow> held = world.reservations().remove(key);
        held.ifPresent(
                row ->
                        world.grantUses()
                                .update(
                                        row.budget(),
                                        grantUse -> grantUse.addReserved(-row.tokens())));
        held.ifPresent(row -> world.changedBudgets().add(row.budget()));
        world.timers().clear(new KeeperTimer.ReserveTimeout(key));
        world.timers().clear(new KeeperTimer.OrphanRetry(key));
        return waiting.isPresent() || held.isPresent();
    }

    /** Reserves the tokens of a waiting request. */
    static void reserve(KeeperWorld world, ReservationRow row) {
        world.waitingReservations().remove(row.key());
        world.reservations().put(row.key(), row);
        world.grantUses().update(row.budget(), grantUse -> grantUse.addReserved(row.tokens()));
        world.timers().clear(new KeeperTimer.ReserveTimeout(row.key()));
    }

    /** Removes the reservation, if this keeper has it, and queues the usage for the log. */
    static void settle(
            KeeperWorld world, GrantKey grant, Usage usage, Optional<Incarnation> router) {
        remove(world, usage.key());
        world.pendingUsages().put(usage.key(), new PendingUsageRow(grant, usage, router));
        if (grant.holder().equals(world.self())) {
            world.grantUses().update(grant.budget(), row -> row.addPending(usage.tokens()));
        }
        world.append(
                new LedgerRecord.UsageReported(grant.budget(), grant.holder(), List.of(usage)));
        String detail = "budget=" + grant.budget() + " tokens=" + usage.tokens();
        world.note(EventKind.USAGE_HELD, usage.key(), detail);
    }

    /**
     * Releases a reservation that its router did not use. If the caller had retried after an
     * earlier router was lost, the reservation is kept as orphaned, so that the usage of the lost
     * router's attempt is billed.
     *
     * @param queryAtMillis when the endpoint of the lost attempt is queried
     */
    static void release(KeeperWorld world, RequestKey key, long queryAtMillis) {
        Optional<ReservationRow> retried =
                world.reservations().find(key).filter(row -> row.lostAttempt().isPresent());
        retried.ifPresentOrElse(
                row -> markOrphaned(world, row.markOrphanedAtLostAttempt(), queryAtMillis),
                () -> remove(world, key));
    }

    /**
     * Keeps the reservation of a lost router until the endpoint has reported the tokens used. One
     * without an attempt is released.
     *
     * @param queryAtMillis when the endpoint is queried, unless the caller has retried by then
     */
    static void orphan(KeeperWorld world, ReservationRow row, long queryAtMillis) {
        if (row.attempt().isEmpty()) {
            release(world, row.key(), queryAtMillis);
        } else {
            markOrphaned(world, row.markOrphaned(), queryAtMillis);
        }
    }

    private static void markOrphaned(KeeperWorld world, ReservationRow row, long queryAtMillis) {
        world.reservations().put(row.key(), row);
        world.timers().set(new KeeperTimer.OrphanRetry(row.key()), queryAtMillis);
        String detail = "budget=" + row.budget() + " tokens=" + row.tokens();
        world.note(EventKind.RESERVATION_ORPHANED, row.key(), detail);
    }

    /** Queries how many tokens the noted attempt used, if there is one. */
    static void queryAttemptUsage(KeeperWorld world, ReservationRow row) {
        row.attempt()
                .map(
                        noted ->
                                new KeeperOutput.QueryAttemptUsage(
                                        row.key(), noted.id(), noted.endpoint()))
                .ifPresent(world.outbox()::add);
    }
}

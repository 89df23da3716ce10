package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Changes reservations together with the holdings that they are set aside from. */
final class Reservations {

    private Reservations() {}

    /** Removes the reservation and frees its tokens; returns false if there is none. */
    static boolean drop(KeeperWorld world, RequestKey key) {
        Optional<ReservationRow> waiting = world.waiting().remove(key);
        Optional<ReservationRow> held = world.reservations().remove(key);
        held.ifPresent(
                row -> world.holdings().update(row.budget(), h -> h.reserved(-row.tokens())));
        held.ifPresent(row -> world.touched().add(row.budget()));
        world.timers().clear(new KeeperTimer.ReserveWait(key));
        world.timers().clear(new KeeperTimer.OrphanRetry(key));
        return waiting.isPresent() || held.isPresent();
    }

    /** Sets the tokens of a waiting request aside. */
    static void hold(KeeperWorld world, ReservationRow row) {
        world.waiting().remove(row.key());
        world.reservations().put(row.key(), row);
        world.holdings().update(row.budget(), holding -> holding.reserved(row.tokens()));
        world.timers().clear(new KeeperTimer.ReserveWait(row.key()));
    }

    /** Turns the reservation, if it is here, into usage that waits to be appended. */
    static void settle(
            KeeperWorld world, GrantKey grant, Usage usage, Optional<Incarnation> router) {
        drop(world, usage.key());
        world.pendingUsages().put(usage.key(), new PendingUsageRow(grant, usage, router));
        if (grant.holder().equals(world.self())) {
            world.holdings().update(grant.budget(), row -> row.pending(usage.tokens()));
        }
        world.append(
                new LedgerRecord.UsageReported(grant.budget(), grant.holder(), List.of(usage)));
        String detail = "budget=" + grant.budget() + " tokens=" + usage.tokens();
        world.note(EventKind.USAGE_HELD, usage.key(), detail);
    }

    /**
     * Gives back what a router did not use. If an attempt of a lost router came before, what that
     * one used is billed.
     */
    static void release(KeeperWorld world, RequestKey key, long askMillis) {
        Optional<ReservationRow> retried =
                world.reservations().find(key).filter(row -> row.lost().isPresent());
        retried.ifPresentOrElse(
                row -> putOrphan(world, row.orphanOfLost(), askMillis), () -> drop(world, key));
    }

    /**
     * Keeps the reservation of a lost router until its endpoint has told what was used.
     *
     * @param askMillis when the endpoint is asked, unless the caller has retried by then
     */
    static void orphan(KeeperWorld world, ReservationRow row, long askMillis) {
        if (row.attempt().isEmpty()) {
            release(world, row.key(), askMillis);
        } else {
            putOrphan(world, row.orphan(), askMillis);
        }
    }

    private static void putOrphan(KeeperWorld world, ReservationRow row, long askMillis) {
        world.reservations().put(row.key(), row);
        world.timers().set(new KeeperTimer.OrphanRetry(row.key()), askMillis);
        String detail = "budget=" + row.budget() + " tokens=" + row.tokens();
        world.note(EventKind.RESERVATION_ORPHANED, row.key(), detail);
    }

    /** Asks the endpoint of the noted attempt what was used, if there is one. */
    static void askEndpoint(KeeperWorld world, ReservationRow row) {
        row.attempt()
                .map(noted -> new KeeperOutput.AskEndpoint(row.key(), noted.id(), noted.endpoint()))
                .ifPresent(world.outbox()::add);
    }
}

package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;

/** Sets tokens aside for requests that wait, as far as the own grants go. */
record ReservingSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    /** So many round trips to others still fit into a caller's target. */
    private static final int MOST_LENDERS = 8;

    private static final Comparator<ReservationRow> BY_AGE =
            Comparator.<ReservationRow>comparingLong(row -> row.key().issuedMillis())
                    .thenComparing(row -> row.key().toString());

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.touched().isEmpty() || world.waiting().size() == 0) {
            return;
        }
        List<ReservationRow> waiting =
                world.waiting().where(row -> world.touched().contains(row.budget()));
        waiting.stream().sorted(BY_AGE).forEach(row -> serve(world, row));
    }

    /** Refuses the request and tells whether the budget is used up or just not at hand. */
    static void refuse(KeeperWorld world, ReservationRow row) {
        ResultCode code = refusalCode(world, row);
        List<Incarnation> lenders = lenders(world, row);
        Reservations.drop(world, row.key());
        world.outbox().add(new KeeperOutput.ReserveRefused(row.router(), row.key(), code, lenders));
        world.note(
                EventKind.RESERVATION_REFUSED,
                row.key(),
                code
                        + " budget="
                        + row.budget()
                        + " tokens="
                        + row.tokens()
                        + " available="
                        + world.availableTokens(row.budget())
                        + " lenders="
                        + lenders.size()
                        + " logLost="
                        + world.isLogLost()
                        + " ledger="
                        + world.ledger().nextOffset());
    }

    private void serve(KeeperWorld world, ReservationRow row) {
        if (world.availableTokens(row.budget()) >= row.tokens()) {
            grant(world, row);
        } else if (isHopeless(world, row) || reason(world, row) != ResultCode.BUDGET_UNAVAILABLE) {
            refuse(world, row);
        }
    }

    /** Nothing comes in time if the log is away, or if others hold all that is left. */
    private boolean isHopeless(KeeperWorld world, ReservationRow row) {
        return !limits.waitsForLog()
                && (world.isLogLost() || !isFree(world, row) && !lenders(world, row).isEmpty());
    }

    /** Returns true if the log has enough free tokens for the request. */
    static boolean isFree(KeeperWorld world, ReservationRow row) {
        long free =
                world.ledger().budgets().find(row.budget()).map(BudgetRow::freeTokens).orElse(0L);
        long usable = free * world.usablePermille() / UsableShareSystem.WHOLE_PERMILLE;
        return usable + world.availableTokens(row.budget()) >= row.tokens();
    }

    /** Returns who seems to hold enough, the richest first. */
    private static List<Incarnation> lenders(KeeperWorld world, ReservationRow row) {
        return world.ledger().grantsOf(row.budget()).stream()
                .filter(grant -> !grant.frozen() && grant.openTokens() >= row.tokens())
                .filter(grant -> !grant.key().holder().equals(world.self()))
                .sorted(Comparator.comparingLong(GrantRow::openTokens).reversed())
                .limit(MOST_LENDERS)
                .map(grant -> grant.key().holder())
                .toList();
    }

    static void grant(KeeperWorld world, ReservationRow row) {
        Reservations.hold(world, row);
        GrantKey grant = GrantKey.of(row.budget(), world.self());
        world.outbox().add(new KeeperOutput.ReserveGranted(row.router(), row.key(), grant));
        String detail = "budget=" + row.budget() + " tokens=" + row.tokens();
        world.note(EventKind.RESERVATION_GRANTED, row.key(), detail);
    }

    /** Tells a router whose keeper reads no log that others may know of tokens that it does not. */
    private static ResultCode refusalCode(KeeperWorld world, ReservationRow row) {
        ResultCode code = reason(world, row);
        return code == ResultCode.BUDGET_UNAVAILABLE && world.isLogLost()
                ? ResultCode.LOG_UNAVAILABLE
                : code;
    }

    private static ResultCode reason(KeeperWorld world, ReservationRow row) {
        ResultCode ifAbsent =
                world.isLogReachable() ? ResultCode.UNKNOWN_BUDGET : ResultCode.BUDGET_UNAVAILABLE;
        return world.ledger()
                .budgets()
                .find(row.budget())
                .map(budget -> budget.paidTokens() - budget.settledTokens() < row.tokens())
                .map(used -> used ? ResultCode.BUDGET_EXHAUSTED : ResultCode.BUDGET_UNAVAILABLE)
                .orElse(ifAbsent);
    }
}

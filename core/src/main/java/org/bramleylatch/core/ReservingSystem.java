package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;

/** Sets tokens aside for requests that wait, as far as the own grants go. */
record ReservingSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
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
        Reservations.drop(world, row.key());
        ResultCode code = reason(world, row);
        world.outbox().add(new KeeperOutput.ReserveRefused(row.router(), row.key(), code));
        world.note(EventKind.RESERVATION_REFUSED, row.key(), code + " budget=" + row.budget());
    }

    private void serve(KeeperWorld world, ReservationRow row) {
        if (world.availableTokens(row.budget()) >= row.tokens()) {
            grant(world, row);
        } else if (isHopeless(world) || reason(world, row) != ResultCode.BUDGET_UNAVAILABLE) {
            refuse(world, row);
        }
    }

    private boolean isHopeless(KeeperWorld world) {
        return world.isLogLost() && !limits.waitsForLog();
    }

    private static void grant(KeeperWorld world, ReservationRow row) {
        Reservations.hold(world, row);
        GrantKey grant = GrantKey.of(row.budget(), world.self());
        world.outbox().add(new KeeperOutput.ReserveGranted(row.router(), row.key(), grant));
        String detail = "budget=" + row.budget() + " tokens=" + row.tokens();
        world.note(EventKind.RESERVATION_GRANTED, row.key(), detail);
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

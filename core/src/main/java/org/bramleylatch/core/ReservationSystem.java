package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Reserves tokens for waiting requests, oldest first, as far as this keeper's grants suffice. */
record ReservationSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    /** Round trips to this many lenders still fit into a caller's latency objective. */
    private static final int MAX_LENDERS = 8;

    private static final Comparator<ReservationRow> BY_AGE =
            Comparator.<ReservationRow>comparingLong(row -> row.key().issuedMillis())
                    .thenComparing(row -> row.key().toString());

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.changedBudgets().isEmpty() || world.waitingReservations().size() == 0) {
            return;
        }
        List<ReservationRow> waiting =
                world.waitingReservations()
                        .where(row -> world.changedBudgets().contains(row.budget()));
        waiting.stream().sorted(BY_AGE).forEach(row -> reserveOrRefuse(world, row));
    }

    /**
     * Reserves the tokens of a request that has waited for as long as it may, or refuses it. The
     * limit on what this keeper spends rises with time, also while no record is read back.
     */
    static void endWait(KeeperWorld world, ReservationRow row) {
        if (world.availableTokens(row.budget()) >= row.tokens()) {
            reserveAndNotify(world, row);
        } else {
            refuse(world, row);
        }
    }

    /** Refuses the request, with a code that tells an exhausted budget from an unavailable one. */
    static void refuse(KeeperWorld world, ReservationRow row) {
        ResultCode code = refusalCode(world, row);
        List<Incarnation> lenders = findLenders(world, row);
        Reservations.remove(world, row.key());
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

    private void reserveOrRefuse(KeeperWorld world, ReservationRow row) {
        if (world.availableTokens(row.budget()) >= row.tokens()) {
            reserveAndNotify(world, row);
        } else if (SpendingLimitSystem.canWaitForHeartbeat(world, limits, row)) {
            world.writer().addEmptyBatch();
        } else if (cannotBeServedInTime(world, row)
                || shortageCode(world, row) != ResultCode.BUDGET_UNAVAILABLE) {
            refuse(world, row);
        }
    }

    /**
     * Returns true if waiting cannot help: the log is unreachable, or the free tokens do not
     * suffice and another holder can lend enough.
     */
    private boolean cannotBeServedInTime(KeeperWorld world, ReservationRow row) {
        return !limits.waitsWhileLogUnreachable()
                && (world.isLogLost()
                        || !isCoveredWithFreeTokens(world, row)
                                && !findLenders(world, row).isEmpty());
    }

    /** Returns true if the free tokens and this keeper's idle ones cover the request. */
    static boolean isCoveredWithFreeTokens(KeeperWorld world, ReservationRow row) {
        long freeTokens =
                world.ledger().budgets().find(row.budget()).map(BudgetRow::freeTokens).orElse(0L);
        return freeTokens + world.idleTokens(row.budget()) >= row.tokens();
    }

    /** Returns the holders with enough tokens according to the ledger, the largest grant first. */
    private static List<Incarnation> findLenders(KeeperWorld world, ReservationRow row) {
        return world.ledger().grantsOf(row.budget()).stream()
                .filter(grant -> !grant.frozen() && grant.openTokens() >= row.tokens())
                .filter(grant -> !grant.key().holder().equals(world.self()))
                .sorted(Comparator.comparingLong(GrantRow::openTokens).reversed())
                .limit(MAX_LENDERS)
                .map(grant -> grant.key().holder())
                .toList();
    }

    /** Reserves the tokens and tells the router from which grant. */
    static void reserveAndNotify(KeeperWorld world, ReservationRow row) {
        Reservations.reserve(world, row);
        GrantKey grant = GrantKey.of(row.budget(), world.self());
        world.outbox().add(new KeeperOutput.ReserveGranted(row.router(), row.key(), grant));
        String detail = "budget=" + row.budget() + " tokens=" + row.tokens();
        world.note(EventKind.RESERVATION_GRANTED, row.key(), detail);
    }

    /**
     * Replaces BUDGET_UNAVAILABLE by LOG_UNAVAILABLE while the log is unreachable. Other keepers
     * may then hold tokens that this keeper does not know of, and the router asks all of them.
     */
    private static ResultCode refusalCode(KeeperWorld world, ReservationRow row) {
        ResultCode code = shortageCode(world, row);
        return code == ResultCode.BUDGET_UNAVAILABLE && world.isLogLost()
                ? ResultCode.LOG_UNAVAILABLE
                : code;
    }

    /** Tells a budget that is used up or unknown from one whose tokens are held elsewhere. */
    static ResultCode shortageCode(KeeperWorld world, ReservationRow row) {
        Optional<BudgetFunds> configured = world.configuredFunds().find(row.budget());
        Optional<BudgetRow> budget = world.ledger().budgets().find(row.budget());
        if (budget.isEmpty()) {
            boolean mayBeFunded = !world.isLogReachable() || configured.isPresent();
            return mayBeFunded ? ResultCode.BUDGET_UNAVAILABLE : ResultCode.UNKNOWN_BUDGET;
        }
        long paidTokens =
                Math.max(
                        budget.get().paidTokens(),
                        configured.map(BudgetFunds::paidTokens).orElse(0L));
        return paidTokens - budget.get().settledTokens() < row.tokens()
                ? ResultCode.BUDGET_EXHAUSTED
                : ResultCode.BUDGET_UNAVAILABLE;
    }
}

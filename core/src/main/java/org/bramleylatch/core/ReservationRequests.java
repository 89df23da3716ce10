package org.bramleylatch.core;

import java.util.Optional;
import org.bramleylatch.core.KeeperInput.ReserveAsked;

/** Handles what routers ask of a keeper: to reserve tokens of its own grant, or to lend some. */
record ReservationRequests(KeeperWorld world, KeeperLimits limits, long nowMillis) {
    /**
     * Long enough for a round trip through the log, and shorter than the time that a router waits
     * for a lender.
     */
    private static final long BORROWED_WAIT_MILLIS = 120;

    /** Reserves tokens, lets the request wait for them, or refuses it and returns false. */
    boolean reserve(ReserveAsked ask) {
        if (isAskedAgain(world.reservations().find(ask.key()), ask)) {
            GrantKey grant = GrantKey.of(ask.budget(), world.self());
            world.outbox().add(new KeeperOutput.ReserveGranted(ask.router(), ask.key(), grant));
            return true;
        }
        if (isAskedAgain(world.waitingReservations().find(ask.key()), ask)) {
            return true;
        }
        Optional<ResultCode> refusal = findRefusal(ask);
        if (refusal.isPresent()) {
            world.outbox()
                    .add(new KeeperOutput.ReserveRefused(ask.router(), ask.key(), refusal.get()));
            return false;
        }
        if (ask.borrowed()) {
            return lend(ask);
        }
        Optional<ReservationRow> orphan = world.reservations().find(ask.key());
        if (orphan.isPresent()) {
            return resumeReservation(ask, orphan.get());
        }
        recordDemand(ask);
        return enqueue(newReservation(ask), limits.reserveWaitMillis());
    }

    /** A router asks again after it asked others because this keeper's answer was late. */
    private static boolean isAskedAgain(Optional<ReservationRow> row, ReserveAsked ask) {
        return row.filter(known -> known.router().equals(ask.router()))
                .filter(known -> !known.orphaned())
                .filter(known -> known.budget().equals(ask.budget()))
                .filter(known -> known.tokens() == ask.tokens())
                .isPresent();
    }

    private void recordDemand(ReserveAsked ask) {
        GrantUseRow grantUse =
                world.findOrAddGrantUse(ask.budget(), nowMillis, limits.demandHalfLifeMillis());
        world.grantUses().put(ask.budget(), grantUse.addDemand(ask.tokens(), nowMillis));
        world.changedBudgets().add(ask.budget());
        scheduleReview();
    }

    private boolean enqueue(ReservationRow row, long maxWaitMillis) {
        world.waitingReservations().put(row.key(), row);
        world.timers().set(new KeeperTimer.ReserveTimeout(row.key()), nowMillis + maxWaitMillis);
        return true;
    }

    private static ReservationRow newReservation(ReserveAsked ask) {
        return ReservationRow.of(ask.key(), ask.router(), ask.budget(), ask.tokens());
    }

    /**
     * Reserves tokens for a router whose own keeper lacks them. The request counts as demand of
     * this keeper, so that a keeper that reaches the log obtains tokens for keepers that do not. If
     * the budget has enough free tokens, the router waits until they are granted.
     */
    private boolean lend(ReserveAsked ask) {
        ReservationRow row = newReservation(ask);
        ResultCode shortage = ReservationSystem.shortageCode(world, row);
        if (shortage != ResultCode.BUDGET_UNAVAILABLE) {
            world.outbox().add(new KeeperOutput.ReserveRefused(ask.router(), ask.key(), shortage));
            return false;
        }
        recordDemand(ask);
        if (world.availableTokens(ask.budget()) < ask.tokens()) {
            if (SpendingLimitSystem.canWaitForHeartbeat(world, limits, row)) {
                world.writer().addEmptyBatch();
                return enqueue(row, BORROWED_WAIT_MILLIS);
            }
            if (!world.isLogLost() && ReservationSystem.isCoveredWithFreeTokens(world, row)) {
                return enqueue(row, BORROWED_WAIT_MILLIS);
            }
            world.outbox()
                    .add(
                            new KeeperOutput.ReserveRefused(
                                    ask.router(), ask.key(), ResultCode.BUDGET_UNAVAILABLE));
            return false;
        }
        ReservationSystem.reserveAndNotify(world, row);
        return true;
    }

    private boolean resumeReservation(ReserveAsked ask, ReservationRow orphan) {
        world.reservations().put(ask.key(), orphan.resumedBy(ask.router()));
        world.timers().clear(new KeeperTimer.OrphanRetry(ask.key()));
        GrantKey grant = GrantKey.of(orphan.budget(), world.self());
        world.outbox().add(new KeeperOutput.ReserveGranted(ask.router(), ask.key(), grant));
        return true;
    }

    private Optional<ResultCode> findRefusal(ReserveAsked ask) {
        if (world.isStopping()) {
            return Optional.of(ResultCode.SHUTTING_DOWN);
        }
        if (world.waitingReservations().has(ask.key()) || conflictsWithReservation(ask)) {
            return Optional.of(ResultCode.REQUEST_IN_PROGRESS);
        }
        return world.pendingUsages().has(ask.key()) || world.ledger().settledKeys().has(ask.key())
                ? Optional.of(ResultCode.USAGE_ALREADY_SETTLED)
                : Optional.empty();
    }

    private boolean conflictsWithReservation(ReserveAsked ask) {
        return world.reservations()
                .find(ask.key())
                .filter(row -> !row.orphaned() || row.tokens() != ask.tokens())
                .isPresent();
    }

    private void scheduleReview() {
        if (!world.timers().has(new KeeperTimer.GrantReview())) {
            world.timers()
                    .set(new KeeperTimer.GrantReview(), nowMillis + limits.reviewIntervalMillis());
        }
    }
}

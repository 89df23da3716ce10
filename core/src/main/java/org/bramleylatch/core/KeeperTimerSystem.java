package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.KeeperTimer.AppendDue;
import org.bramleylatch.core.KeeperTimer.ClockTimeout;
import org.bramleylatch.core.KeeperTimer.GrantReview;
import org.bramleylatch.core.KeeperTimer.IntentTimeout;
import org.bramleylatch.core.KeeperTimer.MoveDeadline;
import org.bramleylatch.core.KeeperTimer.OrphanRetry;
import org.bramleylatch.core.KeeperTimer.ReserveTimeout;
import org.bramleylatch.core.KeeperTimer.SnapshotDue;

/** Handles the deadlines that have passed. */
record KeeperTimerSystem(KeeperLimits limits, FailureHandler failures)
        implements TickSystem<KeeperWorld> {
    private static final double IDLE_DEMAND_TOKENS_PER_HOUR = 1;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        List<KeeperTimer> allDue = world.timers().takeDue(nowMillis);
        if (allDue.isEmpty()) {
            return;
        }
        Dispatch<KeeperTimer, Boolean> handlers =
                Dispatch.<KeeperTimer, Boolean>empty()
                        .on(ReserveTimeout.class, due -> expireReservation(world, due.key()))
                        .on(IntentTimeout.class, due -> abandonIntent(world, due.key()))
                        .on(OrphanRetry.class, due -> queryAttemptUsageAgain(world, due, nowMillis))
                        .on(MoveDeadline.class, due -> expireMove(world, due, nowMillis))
                        .on(SnapshotDue.class, due -> true)
                        .on(AppendDue.class, due -> true)
                        .on(ClockTimeout.class, due -> true)
                        .on(GrantReview.class, due -> reviewGrants(world, due, nowMillis));
        allDue.forEach(failures.guard(handlers::apply));
    }

    private boolean expireReservation(KeeperWorld world, RequestKey key) {
        Optional<ReservationRow> waiting = world.waitingReservations().find(key);
        waiting.ifPresent(row -> ReservationSystem.endWait(world, row));
        return waiting.isPresent();
    }

    private boolean abandonIntent(KeeperWorld world, RequestKey key) {
        Optional<PendingIntentRow> ask =
                world.pendingIntents().update(key, PendingIntentRow::markRefused);
        ask.map(PendingIntentRow::router)
                .map(
                        router ->
                                new KeeperOutput.IntentRefused(
                                        router, key, ResultCode.LOG_UNAVAILABLE))
                .ifPresent(world.outbox()::add);
        return ask.isPresent();
    }

    private boolean queryAttemptUsageAgain(KeeperWorld world, OrphanRetry due, long nowMillis) {
        Optional<ReservationRow> orphan =
                world.reservations().find(due.key()).filter(ReservationRow::orphaned);
        orphan.ifPresent(row -> Reservations.queryAttemptUsage(world, row));
        orphan.ifPresent(row -> world.timers().set(due, nowMillis + limits.orphanRetryMillis()));
        return orphan.isPresent();
    }

    /** Asks the log to expire the move; repeated until it does, because the log's time may lag. */
    private boolean expireMove(KeeperWorld world, MoveDeadline due, long nowMillis) {
        Optional<MoveRow> overdue =
                world.ledger().moves().find(due.route()).filter(MoveRow::isRunning);
        overdue.ifPresent(
                move -> world.append(new LedgerRecord.MoveExpired(due.route(), move.spec().to())));
        overdue.ifPresent(
                move -> world.timers().set(due, nowMillis + limits.reviewIntervalMillis()));
        return overdue.isPresent();
    }

    private boolean reviewGrants(KeeperWorld world, GrantReview due, long nowMillis) {
        List<GrantUseRow> idle = world.grantUses().where(row -> isIdle(world, row, nowMillis));
        idle.forEach(row -> world.grantUses().remove(row.budget()));
        world.grantUses().keys().forEach(world.changedBudgets()::add);
        if (world.grantUses().size() > 0) {
            renewHeartbeat(world, nowMillis);
            world.timers().set(due, nowMillis + limits.reviewIntervalMillis());
        }
        return true;
    }

    /** Sends a heartbeat if no batch had one since the demand fell, by which its limits rise. */
    private void renewHeartbeat(KeeperWorld world, long nowMillis) {
        long dueMillis =
                world.spendingLimits().lastMillis().orElse(nowMillis)
                        + limits.demandHalfLifeMillis();
        if (limits.spendingLimited() && world.isLogReachable() && nowMillis >= dueMillis) {
            world.writer().addEmptyBatch();
        }
    }

    private static boolean isIdle(KeeperWorld world, GrantUseRow row, long nowMillis) {
        return row.committedTokens() == 0
                && !row.askInFlight()
                && row.demandTokensPerHourAt(nowMillis) < IDLE_DEMAND_TOKENS_PER_HOUR
                && world.idleTokens(row.budget()) == 0;
    }
}

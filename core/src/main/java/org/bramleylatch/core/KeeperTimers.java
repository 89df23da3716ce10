package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.KeeperTimer.AppendDue;
import org.bramleylatch.core.KeeperTimer.ClocksDue;
import org.bramleylatch.core.KeeperTimer.IntentWait;
import org.bramleylatch.core.KeeperTimer.MoveDeadline;
import org.bramleylatch.core.KeeperTimer.OrphanRetry;
import org.bramleylatch.core.KeeperTimer.ReserveWait;
import org.bramleylatch.core.KeeperTimer.Review;
import org.bramleylatch.core.KeeperTimer.SnapshotDue;

/** Acts on the deadlines that have passed. */
record KeeperTimers(KeeperLimits limits) implements TickSystem<KeeperWorld> {
    private static final double IDLE_TOKENS_PER_HOUR = 1;

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        Dispatch<KeeperTimer, Boolean> handlers =
                Dispatch.<KeeperTimer, Boolean>empty()
                        .on(ReserveWait.class, due -> refuse(world, due.key()))
                        .on(IntentWait.class, due -> giveUp(world, due.key()))
                        .on(OrphanRetry.class, due -> ask(world, due, nowMillis))
                        .on(MoveDeadline.class, due -> expire(world, due, nowMillis))
                        .on(SnapshotDue.class, due -> true)
                        .on(AppendDue.class, due -> true)
                        .on(ClocksDue.class, due -> true)
                        .on(Review.class, due -> review(world, due, nowMillis));
        world.timers().takeDue(nowMillis).forEach(handlers::apply);
    }

    private boolean refuse(KeeperWorld world, RequestKey key) {
        Optional<ReservationRow> waiting = world.waiting().find(key);
        waiting.ifPresent(row -> ReservingSystem.refuse(world, row));
        return waiting.isPresent();
    }

    private boolean giveUp(KeeperWorld world, RequestKey key) {
        Optional<IntentAskRow> ask = world.intentAsks().update(key, IntentAskRow::giveUp);
        ask.map(IntentAskRow::router)
                .map(
                        router ->
                                new KeeperOutput.IntentRefused(
                                        router, key, ResultCode.LOG_UNAVAILABLE))
                .ifPresent(world.outbox()::add);
        return ask.isPresent();
    }

    private boolean ask(KeeperWorld world, OrphanRetry due, long nowMillis) {
        Optional<ReservationRow> orphan =
                world.reservations().find(due.key()).filter(ReservationRow::orphaned);
        orphan.ifPresent(row -> Reservations.askEndpoint(world, row));
        orphan.ifPresent(row -> world.timers().set(due, nowMillis + limits.orphanRetryMillis()));
        return orphan.isPresent();
    }

    /** Asks the log to end the move; repeated until it has ended, as the log's time may lag. */
    private boolean expire(KeeperWorld world, MoveDeadline due, long nowMillis) {
        Optional<MoveRow> late =
                world.ledger().moves().find(due.route()).filter(MoveRow::isRunning);
        late.ifPresent(
                move -> world.append(new LedgerRecord.MoveExpired(due.route(), move.spec().to())));
        late.ifPresent(move -> world.timers().set(due, nowMillis + limits.reviewMillis()));
        return late.isPresent();
    }

    private boolean review(KeeperWorld world, Review due, long nowMillis) {
        List<HoldingRow> idle = world.holdings().where(row -> isIdle(world, row, nowMillis));
        idle.forEach(row -> world.holdings().remove(row.budget()));
        world.holdings().keys().forEach(world.touched()::add);
        if (world.holdings().size() > 0) {
            world.timers().set(due, nowMillis + limits.reviewMillis());
        }
        return true;
    }

    private static boolean isIdle(KeeperWorld world, HoldingRow row, long nowMillis) {
        return row.boundTokens() == 0
                && !row.askInFlight()
                && row.demandAt(nowMillis) < IDLE_TOKENS_PER_HOUR
                && world.idleTokens(row.budget()) == 0;
    }
}

package org.bramleylatch.core;

import java.util.Optional;

/** Sends the keeper's queued records to the log. */
record AppendSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (world.transition().filter(transition -> !transition.isStating()).isPresent()) {
            return;
        }
        if (limits.spendingLimited()
                && world.isLogLost()
                && world.transition().isEmpty()
                && !world.writer().hasBatchInFlight()) {
            // Each new batch starts with a heartbeat, whose limits apply from then on.
            return;
        }
        world.writer()
                .takeDueBatch(nowMillis, limits, () -> batchHeader(world, nowMillis))
                .map(KeeperOutput.AppendBatch::new)
                .ifPresent(world.outbox()::add);
        world.writer()
                .dueMillis()
                .ifPresent(millis -> world.timers().set(new KeeperTimer.AppendDue(), millis));
    }

    private Optional<LedgerRecord> batchHeader(KeeperWorld world, long nowMillis) {
        return limits.spendingLimited()
                ? Optional.of(SpendingLimitSystem.heartbeat(world, nowMillis))
                : Optional.empty();
    }
}

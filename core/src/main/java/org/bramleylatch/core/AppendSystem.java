package org.bramleylatch.core;

import java.util.Optional;

/** Sends the keeper's queued records to the log. */
record AppendSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (limits.limitsUsableShare() && world.isLogLost() && !world.writer().hasBatchInFlight()) {
            // Each new batch starts with a heartbeat, and each heartbeat postpones the time from
            // which
            // the keeper may use its whole grants.
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
        return limits.limitsUsableShare()
                ? Optional.of(UsableShareSystem.heartbeat(world, limits, nowMillis))
                : Optional.empty();
    }
}

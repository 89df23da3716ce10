package org.bramleylatch.core;

import java.util.Optional;

/** Sends the keeper's queued records to the log. */
record AppendSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (limits.limitsUsableShare() && world.isLogLost() && !world.writer().hasBatchInFlight()) {
            // The heartbeat of a new batch would postpone the use of all of the keeper's grants.
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

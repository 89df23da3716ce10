package org.bramleylatch.core;

import java.util.Optional;

/** Sends what the keeper has queued for the log. */
record AppendSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        if (limits.keepsToShare() && world.isLogLost() && !world.writer().isInFlight()) {
            // A new stamp would put off the time at which all of a grant may be used.
            return;
        }
        world.writer()
                .takeDue(nowMillis, limits, () -> head(world, nowMillis))
                .map(KeeperOutput.AppendBatch::new)
                .ifPresent(world.outbox()::add);
        world.writer()
                .dueMillis()
                .ifPresent(millis -> world.timers().set(new KeeperTimer.AppendDue(), millis));
    }

    private Optional<LedgerRecord> head(KeeperWorld world, long nowMillis) {
        return limits.keepsToShare()
                ? Optional.of(UsableShareSystem.stamp(world, limits, nowMillis))
                : Optional.empty();
    }
}

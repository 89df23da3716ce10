package org.bramleylatch.core;

/** Sends what the keeper has queued for the log. */
record AppendSystem(KeeperLimits limits) implements TickSystem<KeeperWorld> {

    @Override
    public void run(KeeperWorld world, long nowMillis) {
        world.writer()
                .takeDue(nowMillis, limits)
                .map(KeeperOutput.AppendBatch::new)
                .ifPresent(world.outbox()::add);
        world.writer()
                .dueMillis()
                .ifPresent(millis -> world.timers().set(new KeeperTimer.AppendDue(), millis));
    }
}

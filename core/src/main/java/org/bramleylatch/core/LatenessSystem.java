package org.bramleylatch.core;

/**
 * Records until when the VM could not keep up. Runs before the messages of a tick, as the load that
 * they replace was excessive until then.
 */
record LatenessSystem() implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (world.load().isExcessive()) {
            world.lateness().setLastExcessiveMillis(nowMillis);
        }
    }
}

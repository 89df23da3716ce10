package org.bramleylatch.core;

/** Reports once that a planned stop is complete: no request or unsettled usage is left. */
final class RouterStopSystem implements TickSystem<RouterWorld> {
    private boolean stoppedSent;

    @Override
    public void run(RouterWorld world, long nowMillis) {
        boolean isDrained = world.requests().size() == 0 && world.settlements().size() == 0;
        if (world.isStopping() && isDrained && !stoppedSent) {
            stoppedSent = true;
            world.send(new RouterOutput.Stopped());
        }
    }
}

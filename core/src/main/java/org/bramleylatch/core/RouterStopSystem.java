package org.bramleylatch.core;

/** Tells once a planned stop has nothing left to wait for. */
final class RouterStopSystem implements TickSystem<RouterWorld> {
    private boolean told;

    @Override
    public void run(RouterWorld world, long nowMillis) {
        boolean idle = world.requests().size() == 0 && world.settlements().size() == 0;
        if (world.isStopping() && idle && !told) {
            told = true;
            world.send(new RouterOutput.Stopped());
        }
    }
}

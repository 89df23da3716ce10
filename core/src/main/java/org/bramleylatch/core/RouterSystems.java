package org.bramleylatch.core;

/** Names the systems that a router runs each tick, in their order. */
public final class RouterSystems {

    private RouterSystems() {}

    /**
     * Returns the schedule of a router.
     *
     * @param placement chooses endpoints
     * @param limits bounds waits and queues
     */
    public static Schedule<RouterWorld> schedule(Placement placement, RouterLimits limits) {
        return Schedule.of(
                new RouterInbox(limits),
                new RouterTimers(limits),
                new PlacementSystem(placement, limits),
                new SettlingSystem(),
                new MoveSystem(limits),
                new RouterStopSystem());
    }
}

package org.bramleylatch.core;

/** Lists the systems that a router runs each tick, in order. */
public final class RouterSystems {

    private RouterSystems() {}

    /**
     * Returns the schedule of a router.
     *
     * @param placement the choice among endpoints with capacity
     * @param limits the maximums and timeouts
     */
    public static Schedule<RouterWorld> schedule(Placement placement, RouterLimits limits) {
        return Schedule.of(
                new RouterInboxSystem(limits),
                new RouterTimerSystem(limits),
                new QuarantineSystem(),
                new RateLimitSystem(),
                new RolloutSystem(),
                new PlacementSystem(placement, limits),
                new SettlementSystem(),
                new MoveReportSystem(limits),
                new RouterStopSystem());
    }
}

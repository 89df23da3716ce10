package org.bramleylatch.core;

/** Lists the systems that a router runs each tick, in order. */
public final class RouterSystems {

    private RouterSystems() {}

    /**
     * Returns the schedule of a router.
     *
     * @param placement the choice among endpoints with capacity
     * @param limits the maximums and timeouts
     * @param failures handles the exceptions of messages, timers and systems
     */
    public static Schedule<RouterWorld> schedule(
            Placement placement, RouterLimits limits, FailureHandler failures) {
        return Schedule.of(
                failures,
                new LatenessSystem(),
                new RouterInboxSystem(limits, failures),
                new RouterTimerSystem(limits, failures),
                new WithdrawalSystem(),
                new QuarantineSystem(),
                new RateLimitSystem(),
                new RolloutSystem(),
                new PlacementSystem(placement, limits, failures),
                new OwnershipSystem(failures),
                new SettlementSystem(),
                new MoveReportSystem(limits),
                new RouterStopSystem());
    }
}

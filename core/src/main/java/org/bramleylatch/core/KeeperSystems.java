package org.bramleylatch.core;

/** Defines the systems that a keeper runs each tick, and their order. */
public final class KeeperSystems {

    private KeeperSystems() {}

    /**
     * Creates the schedule of one keeper; its systems may hold state and must not be shared.
     *
     * @param policy decides the sizes of grants
     * @param failures handles the exceptions of messages, timers and systems
     */
    public static Schedule<KeeperWorld> schedule(
            GrantPolicy policy, KeeperLimits limits, FailureHandler failures) {
        return Schedule.of(
                failures,
                new SpendingLimitSystem(limits),
                new KeeperInboxSystem(limits, failures),
                new KeeperTimerSystem(limits, failures),
                new FundingSystem(),
                new SuccessionSystem(limits),
                new ReservationSystem(limits),
                new GrantSystem(policy),
                new MoveAnnouncementSystem(),
                new KeeperStopSystem(),
                new SnapshotSystem(limits),
                new AppendSystem(limits));
    }
}

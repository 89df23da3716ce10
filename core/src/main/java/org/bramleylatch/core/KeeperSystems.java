package org.bramleylatch.core;

/** Defines the systems that a keeper runs each tick, and their order. */
public final class KeeperSystems {

    private KeeperSystems() {}

    /**
     * Creates the schedule of one keeper; its systems may hold state and must not be shared.
     *
     * @param policy decides the sizes of grants
     */
    public static Schedule<KeeperWorld> schedule(GrantPolicy policy, KeeperLimits limits) {
        return Schedule.of(
                new KeeperInboxSystem(limits),
                new KeeperTimerSystem(limits),
                new UsableShareSystem(limits),
                new SuccessionSystem(limits),
                new ReservationSystem(limits),
                new GrantSystem(policy),
                new MoveAnnouncementSystem(),
                new KeeperStopSystem(),
                new SnapshotSystem(limits),
                new AppendSystem(limits));
    }
}

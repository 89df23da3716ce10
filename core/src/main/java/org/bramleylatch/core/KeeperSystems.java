package org.bramleylatch.core;

/** Names the systems that a keeper runs each tick, in their order. */
public final class KeeperSystems {

    private KeeperSystems() {}

    /**
     * Returns the schedule of a keeper.
     *
     * @param policy decides the sizes of grants
     * @param limits bounds waits and batches
     */
    public static Schedule<KeeperWorld> schedule(GrantPolicy policy, KeeperLimits limits) {
        return Schedule.of(
                new KeeperInbox(limits),
                new KeeperTimers(limits),
                new UsableShareSystem(limits),
                new SuccessionSystem(limits),
                new ReservingSystem(limits),
                new GrantSystem(policy),
                new MoveTellingSystem(),
                new KeeperStopSystem(),
                new SnapshotSystem(limits),
                new AppendSystem(limits));
    }
}

package org.bramleylatch.fakes;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled actions in the order of their time, and those of one time in the order in which
 * they were scheduled. Time changes only in {@link #advance}.
 */
public final class VirtualTime {
    private static final Comparator<Action> ORDER =
            Comparator.comparingLong(Action::dueMillis).thenComparingLong(Action::number);

    private final PriorityQueue<Action> actions = new PriorityQueue<>(ORDER);
    private long nowMillis;
    private long actionCount;

    private VirtualTime(long startMillis) {
        this.nowMillis = startMillis;
    }

    /** Creates a clock that starts at the given time, in milliseconds since the epoch. */
    public static VirtualTime startingAt(long millis) {
        return new VirtualTime(millis);
    }

    /** Returns the current virtual time, in milliseconds since the epoch. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Schedules the action to run after the delay. */
    public void runAfter(long delayMillis, Runnable action) {
        runAt(nowMillis + delayMillis, action);
    }

    /** Schedules the action for the given time, or for the current time if that has passed. */
    public void runAt(long dueMillis, Runnable action) {
        actionCount++;
        actions.add(new Action(Math.max(dueMillis, nowMillis), actionCount, action));
    }

    /** Advances the time by the duration and runs every action that becomes due on the way. */
    public void advance(long durationMillis) {
        long endMillis = nowMillis + durationMillis;
        while (!actions.isEmpty() && actions.peek().dueMillis <= endMillis) {
            Action next = actions.remove();
            nowMillis = next.dueMillis;
            next.task.run();
        }
        nowMillis = endMillis;
    }

    private record Action(long dueMillis, long number, Runnable task) {}
}

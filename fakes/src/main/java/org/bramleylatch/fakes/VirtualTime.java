package org.bramleylatch.fakes;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their time; the time stands still in between. */
public final class VirtualTime {
    private static final Comparator<Action> ORDER =
            Comparator.comparingLong(Action::dueMillis).thenComparingLong(Action::number);

    private final PriorityQueue<Action> actions = new PriorityQueue<>(ORDER);
    private long nowMillis;
    private long count;

    private VirtualTime(long startMillis) {
        this.nowMillis = startMillis;
    }

    /** Returns a time that starts at the given milliseconds since the epoch. */
    public static VirtualTime startingAt(long millis) {
        return new VirtualTime(millis);
    }

    /** Returns the time in milliseconds since the epoch. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Runs the action after the delay, in milliseconds. */
    public void after(long delayMillis, Runnable action) {
        at(nowMillis + delayMillis, action);
    }

    /** Runs the action at the given time, or now if that has passed. */
    public void at(long dueMillis, Runnable action) {
        count++;
        actions.add(new Action(Math.max(dueMillis, nowMillis), count, action));
    }

    /** Runs what is due within the given span, in milliseconds, and ends at its end. */
    public void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (!actions.isEmpty() && actions.peek().dueMillis <= endMillis) {
            Action next = actions.remove();
            nowMillis = next.dueMillis;
            next.run.run();
        }
        nowMillis = endMillis;
    }

    private record Action(long dueMillis, long number, Runnable run) {}
}

package org.bramleylatch.edge;

import java.util.concurrent.atomic.AtomicLong;

/** Counts events so that an effect always has a greater count than its cause. */
public final class Lamport {
    private final AtomicLong count = new AtomicLong();

    /** Makes a count that starts at 0. */
    public Lamport() {}

    /** Returns the count for the next event or message of this process. */
    public long next() {
        return count.incrementAndGet();
    }

    /** Takes the count that a message carried. */
    public void seen(long other) {
        count.accumulateAndGet(other, Math::max);
    }
}

package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Issues timestamps that order events causally: an effect has a greater timestamp than its cause,
 * also across processes. Timestamps of processes that exchanged no message follow the wall clock.
 * The lower 16 bits are a counter, the upper bits the wall clock in milliseconds.
 */
public final class HybridLogicalClock {
    private static final int COUNTER_BITS = 16;

    private final InstantSource wallClock;
    private final AtomicLong latest = new AtomicLong();

    /** Creates a clock that reads the given wall clock. */
    public HybridLogicalClock(InstantSource wallClock) {
        this.wallClock = requireNonNull(wallClock);
    }

    /** Issues the timestamp of the next event or message of this process. */
    public long next() {
        long wallTimestamp = wallClock.millis() << COUNTER_BITS;
        return latest.updateAndGet(previous -> Math.max(previous + 1, wallTimestamp));
    }

    /** Advances this clock to the timestamp of a received message, if that is later. */
    public void observe(long timestamp) {
        latest.accumulateAndGet(timestamp, Math::max);
    }
}

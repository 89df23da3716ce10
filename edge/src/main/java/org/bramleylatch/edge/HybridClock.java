package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Orders events so that an effect always has a greater number than its cause, in whichever process;
 * where nothing was said between two processes the number follows the wall clock.
 */
public final class HybridClock {
    private static final int COUNTER_BITS = 16;

    private final InstantSource wallClock;
    private final AtomicLong last = new AtomicLong();

    /** Makes a clock over the given wall clock. */
    public HybridClock(InstantSource wallClock) {
        this.wallClock = requireNonNull(wallClock);
    }

    /** Returns the number of the next event or message of this process. */
    public long next() {
        long wall = wallClock.millis() << COUNTER_BITS;
        return last.updateAndGet(before -> Math.max(before + 1, wall));
    }

    /** Takes the number that a message carried. */
    public void seen(long other) {
        last.accumulateAndGet(other, Math::max);
    }
}

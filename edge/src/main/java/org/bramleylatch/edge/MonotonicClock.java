package org.bramleylatch.edge;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Is a clock that starts at the time of day and then follows the steady clock, so that no timer
 * fires early or late because the time of day was set.
 */
public final class MonotonicClock implements InstantSource {
    private final long startMillis;
    private final long startNanos;
    private final LongSupplier nanos;

    /** Makes a clock; nanos is the steady clock. */
    public MonotonicClock(InstantSource timeOfDay, LongSupplier nanos) {
        this.startMillis = timeOfDay.millis();
        this.startNanos = nanos.getAsLong();
        this.nanos = nanos;
    }

    /** Returns a clock on the clocks of the runtime. */
    public static MonotonicClock system() {
        return new MonotonicClock(InstantSource.system(), System::nanoTime);
    }

    /** Returns the time of day at which the steady clock was zero, in milliseconds. */
    public long bootMillis() {
        return startMillis - TimeUnit.NANOSECONDS.toMillis(startNanos);
    }

    /** Returns the time of day at which this clock was made, in milliseconds. */
    public long startMillis() {
        return startMillis;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public long millis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() - startNanos);
    }
}

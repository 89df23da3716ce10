package org.bramleylatch.edge;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Starts at the wall-clock time and then follows a monotonic clock, so that no timer fires early or
 * late when the wall clock is set.
 */
public final class MonotonicClock implements InstantSource {
    private final long startMillis;
    private final long startNanos;
    private final LongSupplier nanoClock;

    /**
     * Creates a clock that starts now.
     *
     * @param nanoClock the monotonic clock, in nanoseconds from an arbitrary origin
     */
    public MonotonicClock(InstantSource wallClock, LongSupplier nanoClock) {
        this.startMillis = wallClock.millis();
        this.startNanos = nanoClock.getAsLong();
        this.nanoClock = nanoClock;
    }

    /** Creates a clock that uses the system clocks of the JVM. */
    public static MonotonicClock system() {
        return new MonotonicClock(InstantSource.system(), System::nanoTime);
    }

    /**
     * Returns the wall-clock time at which the monotonic clock was zero, in milliseconds since the
     * epoch. Almost equal values of two processes on a VM show that it was not restarted in
     * between.
     */
    public long bootMillis() {
        return startMillis - TimeUnit.NANOSECONDS.toMillis(startNanos);
    }

    /** Returns the wall-clock time when this clock was created, in milliseconds since the epoch. */
    public long startMillis() {
        return startMillis;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public long millis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - startNanos);
    }
}

package org.bramleylatch.edge;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Is how often a reader asks the platform.
 *
 * @param waitMillis how long a read waits for news
 * @param pauseMillis tells how long to leave news alone before the next read, so that they come in
 *     batches
 * @param longestPause the longest pause after failed reads
 */
public record Pace(long waitMillis, LongSupplier pauseMillis, Duration longestPause) {
    private static final long WAIT_MILLIS = 10_000;
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    /** Returns the pace that answers soonest. */
    public static Pace standard() {
        return new Pace(WAIT_MILLIS, () -> 0, LONGEST_PAUSE);
    }
}

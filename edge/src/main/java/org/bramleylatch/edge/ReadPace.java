package org.bramleylatch.edge;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Sets the waits and pauses of a reader of a log stream.
 *
 * @param waitMillis how long a read waits for new records (long poll)
 * @param pauseMillis supplies the pause after a successful read, during which records collect for
 *     the next one
 * @param maxRetryPause the upper bound of the back-off after failed reads
 */
public record ReadPace(long waitMillis, LongSupplier pauseMillis, Duration maxRetryPause) {
    private static final long STANDARD_WAIT_MILLIS = 10_000;
    private static final Duration STANDARD_MAX_RETRY_PAUSE = Duration.ofSeconds(1);

    /** Returns the pace with the least delay: long polls without a pause between them. */
    public static ReadPace standard() {
        return new ReadPace(STANDARD_WAIT_MILLIS, () -> 0, STANDARD_MAX_RETRY_PAUSE);
    }
}

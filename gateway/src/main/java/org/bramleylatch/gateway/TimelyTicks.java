package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.time.InstantSource;

/**
 * Runs a check of connections again and again, each time after the event loop has read from them.
 * The timer of a loop that is late, or of a process that was suspended, may run before what arrived
 * meanwhile is read; such a tick is left out and made up for after a read.
 *
 * @param periodMillis the time from one tick to the next
 * @param tick checks the connections, on the event loop
 */
record TimelyTicks(Vertx vertx, InstantSource clock, long periodMillis, Runnable tick) {
    /** Half of the time after which an unanswered request whose connection closes is lost. */
    private static final long MAX_LATE_MILLIS = 100;

    /** A timer that is set on the event loop runs after its next read. */
    private static final long READ_MILLIS = 1;

    /** Starts to tick; called on the event loop. */
    void start() {
        tickAfter(periodMillis);
    }

    private void tickAfter(long delayMillis) {
        long dueMillis = clock.millis() + delayMillis;
        vertx.setTimer(
                delayMillis,
                ignored -> {
                    boolean isLate = clock.millis() - dueMillis > MAX_LATE_MILLIS;
                    tickAfter(isLate ? READ_MILLIS : periodMillis);
                    if (!isLate) {
                        tick.run();
                    }
                });
    }
}

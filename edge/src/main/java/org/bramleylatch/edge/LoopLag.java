package org.bramleylatch.edge;

import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.function.LongConsumer;

/**
 * Estimates how far an event loop is behind, by a timer that fires late on a loop that is busy, or
 * in a process that was stopped. What such a loop reads may have waited for as long.
 */
public final class LoopLag {
    private static final long PERIOD_MILLIS = 100;

    /**
     * Covers the passes in which connections that waited are accepted, on another thread, and read.
     */
    private static final long CATCH_UP_MILLIS = 50;

    private final InstantSource clock;
    private final LongConsumer delays;
    private long lastMillis;
    private long lastDelayMillis;

    /**
     * Creates an estimate of no lag.
     *
     * @param delays receives the lag of each tick in milliseconds; 0 for a tick in time
     */
    public LoopLag(InstantSource clock, LongConsumer delays) {
        this.clock = clock;
        this.delays = delays;
        this.lastMillis = clock.millis();
    }

    /**
     * Measures the event loop that calls this, from now on. Each tick is timed from the one before:
     * a periodic timer makes up for missed ticks at once, and the second of them would hide the lag
     * from what is read next.
     */
    public void start(Vertx vertx) {
        lastMillis = clock.millis();
        startTimer(vertx);
    }

    private void startTimer(Vertx vertx) {
        vertx.setTimer(
                PERIOD_MILLIS,
                ignored -> {
                    startTimer(vertx);
                    tick();
                    forgetOnceCaughtUp(vertx);
                });
    }

    /** Forgets a delay once what waited has been read; what is read later arrived later. */
    private void forgetOnceCaughtUp(Vertx vertx) {
        long tickMillis = lastMillis;
        if (lastDelayMillis > 0) {
            vertx.setTimer(CATCH_UP_MILLIS, read -> markCaughtUp(tickMillis));
        }
    }

    /** Returns by how many milliseconds what is read now may have waited for the loop. */
    public long millis() {
        return Math.max(lastDelayMillis, delayMillis(clock.millis()));
    }

    void tick() {
        long nowMillis = clock.millis();
        lastDelayMillis = delayMillis(nowMillis);
        lastMillis = nowMillis;
        delays.accept(lastDelayMillis);
    }

    /** Forgets the delay of the tick at the given time, unless there was one since. */
    void markCaughtUp(long tickMillis) {
        if (tickMillis == lastMillis) {
            lastDelayMillis = 0;
        }
    }

    private long delayMillis(long nowMillis) {
        return Math.max(0, nowMillis - lastMillis - PERIOD_MILLIS);
    }
}

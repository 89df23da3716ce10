package org.bramleylatch.bench;

import java.util.function.BooleanSupplier;

/** Polls conditions that other processes bring about, with a pause between checks. */
public final class Await {
    private static final long POLL_INTERVAL_MILLIS = 25;

    private Await() {}

    /**
     * Waits until the condition holds.
     *
     * @param description the expected state, for the error message
     * @throws IllegalStateException if the condition does not hold within the timeout
     */
    public static void until(String description, long timeoutMillis, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(
                        "condition not met within " + timeoutMillis + " ms: " + description);
            }
            sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Sleeps; an interrupt ends the sleep early and stays set on the thread. */
    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}

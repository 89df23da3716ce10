package org.bramleylatch.bench;

import java.util.function.BooleanSupplier;

/** Waits for outcomes of other processes. */
public final class Await {
    private static final long PAUSE_MILLIS = 25;

    private Await() {}

    /**
     * Waits until the condition holds.
     *
     * @param description names it, for the message
     * @throws IllegalStateException if it does not hold within the time, in milliseconds
     */
    public static void until(String description, long timeoutMillis, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(
                        "not within " + timeoutMillis + " ms: " + description);
            }
            quietly(PAUSE_MILLIS);
        }
    }

    /** Lets the given time pass, in milliseconds. */
    public static void quietly(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.bramleylatch.gateway;

/**
 * Shares a part of the heap among the bodies of all open requests. A part of it is left to short
 * bodies, so that requests with short bodies are served while long ones are refused.
 */
final class BodyBudget {
    /** A quarter of the heap; half of it is for tables, an eighth for answers of endpoints. */
    private static final int HEAP_DIVISOR = 4;

    /** A quarter of the budget is left to short bodies. */
    private static final int SHORT_DIVISOR = 4;

    private static final int MAX_SHORT_BYTES = 16 * 1024;

    private final long maxLongBytes;
    private final ByteBudget budget;

    private BodyBudget(long maxBytes) {
        this.maxLongBytes = maxBytes - maxBytes / SHORT_DIVISOR;
        this.budget = new ByteBudget(maxBytes);
    }

    /** Creates a budget of a quarter of the heap's maximum size, of which nothing is used. */
    static BodyBudget ofHeap(long maxHeapBytes) {
        return new BodyBudget(maxHeapBytes / HEAP_DIVISOR);
    }

    /** Takes the bytes that one body needs; returns false and takes none if they don't fit. */
    boolean take(long bytes) {
        boolean fits = bytes <= MAX_SHORT_BYTES || budget.usedBytes() + bytes <= maxLongBytes;
        return fits && budget.take(bytes);
    }

    /** Returns bytes that were taken before. */
    void giveBack(long bytes) {
        budget.giveBack(bytes);
    }

    /** Returns the bytes that are in use. */
    long usedBytes() {
        return budget.usedBytes();
    }
}

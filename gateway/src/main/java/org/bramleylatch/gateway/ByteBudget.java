package org.bramleylatch.gateway;

/** Bounds the bytes that all holders of one kind of data together have in memory. */
final class ByteBudget {
    private final long maxBytes;
    private long usedBytes;

    /** Creates a budget of which nothing is used. */
    ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes bytes from the budget; returns false and takes none if there are too few. */
    boolean take(long bytes) {
        boolean fits = usedBytes + bytes <= maxBytes;
        usedBytes += fits ? bytes : 0;
        return fits;
    }

    /** Returns bytes that were taken before. */
    void giveBack(long bytes) {
        usedBytes -= bytes;
    }

    /** Returns the bytes that are in use. */
    long usedBytes() {
        return usedBytes;
    }
}

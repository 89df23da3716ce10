package org.bramleylatch.core;

/**
 * Tells how much of what a VM can bear its requests take, as a mean over the last second.
 *
 * @param readPermille bytes that arrive over the link for requests, in thousandths of what the link
 *     carries; 0 if the platform does not limit it
 * @param writtenPermille the same for bytes that leave
 * @param loopLateMillis by how many milliseconds the event loop handles what has arrived too late
 */
public record VmLoad(int readPermille, int writtenPermille, long loopLateMillis) {
    private static final VmLoad NONE = new VmLoad(0, 0, 0);

    /** Leaves room for the headers of packets and for what is not sent for requests. */
    private static final int FULL_LINK_PERMILLE = 750;

    /** Exceeds the pauses of a VM that may use its processor for a part of each 100 ms only. */
    private static final long LATE_MILLIS = 60;

    /** Returns the load of a VM that does nothing. */
    public static VmLoad none() {
        return NONE;
    }

    /** Returns true if what the VM reads, handles or writes waits for its turn. */
    public boolean isExcessive() {
        return Math.max(readPermille, writtenPermille) >= FULL_LINK_PERMILLE
                || loopLateMillis >= LATE_MILLIS;
    }

    @Override
    public String toString() {
        return "readPermille="
                + readPermille
                + " writtenPermille="
                + writtenPermille
                + " loopLateMillis="
                + loopLateMillis;
    }
}

package org.bramleylatch.core;

import java.util.OptionalLong;

/**
 * Decides whether a VM asks the platform for new connections. A VM that gets more requests than it
 * keeps up with leaves the rotation, so that new connections of its callers reach other VMs; open
 * ones are still served.
 *
 * @param isIn whether the VM asks for new connections
 * @param changingSinceMillis since when its load calls for the other state; empty if it does not
 */
public record Rotation(boolean isIn, OptionalLong changingSinceMillis) {
    private static final long LEAVE_AFTER_MILLIS = 500;

    /** Covers two readiness checks, so that new connections have moved before the return. */
    private static final long RETURN_AFTER_MILLIS = 3_000;

    /** Even the smallest VM bears so many, so that one with fewer is late for another reason. */
    private static final double MIN_REQUESTS_PER_SECOND = 10;

    /** In a zone of fewer VMs, the others would have to take on too much each. */
    private static final int MIN_VMS_OF_ZONE = 8;

    /** Returns the state of a VM whose load is not known yet. */
    public static Rotation initial() {
        return new Rotation(true, OptionalLong.empty());
    }

    /**
     * Returns the state after a measurement. A VM that is late with few requests stays in: the
     * cause lies elsewhere, and may act on all VMs at once.
     *
     * @param requestsPerSecond what the VM got in the last second
     * @param refuses whether it has refused some of them
     * @param vmsOfZone the number of known VMs of the zone, this one included
     */
    public Rotation next(
            VmLoad load,
            double requestsPerSecond,
            boolean refuses,
            long vmsOfZone,
            long nowMillis) {
        if (vmsOfZone < MIN_VMS_OF_ZONE) {
            return initial();
        }
        boolean isBusy = requestsPerSecond >= MIN_REQUESTS_PER_SECOND;
        boolean shouldBeIn = !refuses && !(load.isExcessive() && isBusy);
        if (shouldBeIn == isIn) {
            return new Rotation(isIn, OptionalLong.empty());
        }
        long sinceMillis = changingSinceMillis.orElse(nowMillis);
        long patienceMillis = isIn ? LEAVE_AFTER_MILLIS : RETURN_AFTER_MILLIS;
        return nowMillis - sinceMillis >= patienceMillis
                ? new Rotation(!isIn, OptionalLong.empty())
                : new Rotation(isIn, OptionalLong.of(sinceMillis));
    }
}

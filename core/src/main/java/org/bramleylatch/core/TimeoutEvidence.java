package org.bramleylatch.core;

/**
 * Decides whether a time-out counts as evidence against what this VM waited for. On a VM that can't
 * keep up, an answer that came in time is handled late or waits behind a full link, so that a
 * time-out shows nothing of others. What shows a failure by itself, such as a refused connection,
 * always counts and is not judged here.
 */
record TimeoutEvidence(RouterWorld world, long nowMillis) {
    /** Bounds how long a VM that is late for long waits for what is really gone. */
    static final long MAX_VOID_MILLIS = 5_000;

    /**
     * Returns true if the VM kept up during the whole wait, or the wait was so long that lateness
     * does not explain it.
     *
     * @param sinceMillis when the wait began, in milliseconds since the epoch
     */
    boolean counts(long sinceMillis) {
        boolean keptUp =
                !world.load().isExcessive() && world.lateness().lastExcessiveMillis() < sinceMillis;
        return keptUp || exceedsLateness(sinceMillis);
    }

    /**
     * Returns true if lateness does not explain a failure that has lasted so long.
     *
     * @param sinceMillis when it began, in milliseconds since the epoch
     */
    boolean exceedsLateness(long sinceMillis) {
        return nowMillis - sinceMillis >= MAX_VOID_MILLIS;
    }
}

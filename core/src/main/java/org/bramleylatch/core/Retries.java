package org.bramleylatch.core;

/** Decides whether a request may be retried, and counts requests and retries by back end. */
final class Retries {

    private Retries() {}

    /** Counts a new request, which raises the retry allowance of its back end. */
    static void countRequest(
            RouterWorld world, RequestSpec spec, RouterLimits limits, long nowMillis) {
        RetryRow before = findRow(world, spec);
        world.retriesByBackEnd()
                .put(spec.backEnd(), before.withRequest(nowMillis, limits.retryWindowMillis()));
    }

    /**
     * Returns true if the request may be sent to an endpoint again: it is repeatable and its answer
     * can be continued, or it has not run, and neither its attempts nor the back end's retry
     * allowance is used up.
     *
     * @param connected false if the last attempt never reached its endpoint; such a retry needs no
     *     allowance
     */
    static boolean allows(
            RouterWorld world,
            RouterLimits limits,
            RequestRow row,
            boolean connected,
            long nowMillis) {
        boolean isSafe =
                row.spec().route().repeatable() && row.resumable()
                        || row.runState() == RunState.NOT_RUN;
        int maxAttempts =
                Math.min(limits.maxAttempts(), row.spec().route().options().maxAttempts());
        return isSafe
                && row.attemptCount() < maxAttempts
                && (!connected
                        || findRow(world, row.spec())
                                .allows(nowMillis, limits, world.routerCount()));
    }

    /** Counts a retry against the allowance of the request's back end. */
    static void countRetry(
            RouterWorld world, RequestSpec spec, RouterLimits limits, long nowMillis) {
        RetryRow before = findRow(world, spec);
        world.retriesByBackEnd()
                .put(spec.backEnd(), before.withRetry(nowMillis, limits.retryWindowMillis()));
    }

    private static RetryRow findRow(RouterWorld world, RequestSpec spec) {
        return world.retriesByBackEnd().find(spec.backEnd()).orElseGet(RetryRow::empty);
    }
}

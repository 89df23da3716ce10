package org.bramleylatch.core;

/** Decides whether a request may be sent to another endpoint, and counts that it was. */
final class Retries {

    private Retries() {}

    /** Counts a new request, which adds to the allowance of its back end. */
    static void earn(RouterWorld world, RequestSpec spec, RouterLimits limits, long nowMillis) {
        RetryRow before = row(world, spec);
        world.retries().put(spec.backEnd(), before.asked(nowMillis, limits.retryWindowMillis()));
    }

    /**
     * Returns true if the request may go to another endpoint.
     *
     * @param arrived false if its last attempt never reached an endpoint, so that the allowance is
     *     not touched
     */
    static boolean allows(
            RouterWorld world,
            RouterLimits limits,
            RequestRow row,
            boolean arrived,
            long nowMillis) {
        boolean safe = row.spec().route().repeatable() || row.ran() == RunState.NOT_RUN;
        int most = Math.min(limits.mostAttempts(), row.spec().route().terms().mostAttempts());
        return safe
                && row.attempts() < most
                && (!arrived || row(world, row.spec()).allows(nowMillis, limits, world.routers()));
    }

    /** Takes a retry from the allowance of the request's back end. */
    static void spend(RouterWorld world, RequestSpec spec, RouterLimits limits, long nowMillis) {
        RetryRow before = row(world, spec);
        world.retries().put(spec.backEnd(), before.spent(nowMillis, limits.retryWindowMillis()));
    }

    private static RetryRow row(RouterWorld world, RequestSpec spec) {
        return world.retries().find(spec.backEnd()).orElseGet(RetryRow::empty);
    }
}

package org.bramleylatch.core;

/** Decides whether a request may be sent to another endpoint, and counts that it was. */
final class Retries {

    private Retries() {}

    /** Adds the part of a retry that a new request earns for its back end. */
    static void earn(RouterWorld world, RequestSpec spec, RouterLimits limits) {
        RetryRow before =
                world.retries().findOrAdd(spec.backEnd(), () -> RetryRow.of(limits.retryBurst()));
        world.retries()
                .put(spec.backEnd(), before.earned(limits.retryPermille(), limits.retryBurst()));
    }

    /**
     * Returns true if the request may go to another endpoint.
     *
     * @param arrived false if its last attempt never reached an endpoint, so that the allowance is
     *     not touched
     */
    static boolean allows(RouterWorld world, RouterLimits limits, RequestRow row, boolean arrived) {
        boolean safe = row.spec().route().repeatable() || row.ran() == RunState.NOT_RUN;
        int most = Math.min(limits.mostAttempts(), row.spec().route().terms().mostAttempts());
        return safe && row.attempts() < most && (!arrived || hasAllowance(world, row.spec()));
    }

    /** Takes a retry from the allowance of the request's back end. */
    static void spend(RouterWorld world, RequestSpec spec) {
        world.retries().update(spec.backEnd(), RetryRow::spent);
    }

    private static boolean hasAllowance(RouterWorld world, RequestSpec spec) {
        return world.retries().find(spec.backEnd()).filter(RetryRow::allows).isPresent();
    }
}

package org.bramleylatch.core;

/**
 * Tells how long the endpoint of an attempt may be silent, by the request's route and its caller.
 * The attempt may be given up at the last moment at which another one can still answer the caller
 * within the latency objective, and only for a short time then: later, waiting is the better
 * chance. A route without an objective has no such moment.
 *
 * @param noticedMillis when the silence is long enough to look for its cause
 * @param retryMillis when another attempt must start at the latest to meet the objective
 * @param retryEndMillis when too little time is left for another attempt
 * @param endMillis when the caller leaves
 */
record SilenceLimit(long noticedMillis, long retryMillis, long retryEndMillis, long endMillis) {
    /** How often a retry that is due but finds no free endpoint is tried again. */
    private static final long RETRY_INTERVAL_MILLIS = 100;

    /** An attempt that has less than half of the latency objective can hardly answer in time. */
    private static final int MIN_TIME_DIVISOR = 2;

    /**
     * Returns the limit of an attempt's silence.
     *
     * @param noticeAfterMillis how long a silence is ignored, unless the last moment for another
     *     attempt comes before
     */
    static SilenceLimit of(RequestRow request, AttemptRow attempt, long noticeAfterMillis) {
        RequestSpec spec = request.spec();
        RouteOptions options = spec.route().options();
        long silentSinceMillis = attempt.lastProgressMillis();
        long endMillis =
                options.callerPatienceMillis()
                        .map(patience -> request.waitingSinceMillis(attempt) + patience)
                        .filter(leavesMillis -> leavesMillis < spec.deadlineMillis())
                        .orElse(spec.deadlineMillis());
        long targetLatencyMillis = options.targetLatencyMillis();
        long retryMillis = endMillis - targetLatencyMillis;
        boolean begun = attempt.firstTokenLatencyMillis().isPresent();
        boolean isLateByRetry = !begun && silentSinceMillis + targetLatencyMillis <= retryMillis;
        long noticedMillis = silentSinceMillis + noticeAfterMillis;
        return new SilenceLimit(
                isLateByRetry ? Math.min(noticedMillis, retryMillis) : noticedMillis,
                retryMillis,
                endMillis - targetLatencyMillis / MIN_TIME_DIVISOR,
                endMillis);
    }

    /** Returns when to look at a running attempt that makes no progress until then. */
    static long noticeMillis(RequestRow request, AttemptRow attempt, RouterLimits limits) {
        long timeoutMillis = timeoutMillis(attempt, limits);
        return request.spec().route().options().waitsForSilentEndpoint()
                ? of(request, attempt, timeoutMillis).noticedMillis
                : attempt.lastProgressMillis() + timeoutMillis;
    }

    /** Returns how long a silence of the attempt is ignored. */
    static long timeoutMillis(AttemptRow attempt, RouterLimits limits) {
        boolean hasProgress = attempt.lastProgressMillis() > attempt.startedMillis();
        return hasProgress ? limits.stallTimeoutMillis() : limits.firstTokenTimeoutMillis();
    }

    /** Returns true if the attempt may be given up now, provided that another one can start. */
    boolean allowsRetry(long nowMillis) {
        return hasRetryMoment() && retryMillis <= nowMillis && nowMillis < retryEndMillis;
    }

    /**
     * Returns when to check the attempt again.
     *
     * @param intervalMillis the time between checks that find no retry due
     */
    long nextCheckMillis(long nowMillis, long intervalMillis) {
        long nextMillis = nowMillis + intervalMillis;
        if (allowsRetry(nowMillis)) {
            return nowMillis + RETRY_INTERVAL_MILLIS;
        }
        return hasRetryMoment() && nowMillis < retryMillis
                ? Math.min(nextMillis, retryMillis)
                : nextMillis;
    }

    private boolean hasRetryMoment() {
        return noticedMillis <= retryMillis;
    }
}

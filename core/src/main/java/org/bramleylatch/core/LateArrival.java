package org.bramleylatch.core;

import java.util.Optional;

/**
 * Decides whether a call can still be served that waited before this process read it. A process
 * that is behind reads each further message of the call as late: the reservation, the connection to
 * the endpoint and the first token.
 */
final class LateArrival {
    /** Shorter waits are within the noise of a sound process. */
    private static final long MIN_WAIT_MILLIS = 100;

    private static final int FURTHER_WAITS = 3;

    private LateArrival() {}

    /**
     * Returns why the call is refused at once; empty if it may be served before its caller leaves.
     * The timeout counts from the head, the wait of this process and the caller's patience from the
     * end of the body. How long a call waited is an upper bound, so that one that waited is never
     * taken for one whose caller has left: it did not run, and its caller may try another VM.
     */
    static Optional<ResultCode> findRefusal(Call call, RouteOptions options, long nowMillis) {
        long timeoutMillis = options.effectiveTimeoutMillis(call.callerTimeoutMillis());
        long patienceMillis = options.callerPatienceMillis().orElse(Long.MAX_VALUE);
        long ageMillis = nowMillis - call.arrivedMillis();
        long waitedMillis = nowMillis - call.completedMillis();
        if (waitedMillis < MIN_WAIT_MILLIS) {
            return Optional.of(ResultCode.DEADLINE_EXCEEDED)
                    .filter(code -> ageMillis >= timeoutMillis);
        }
        long furtherMillis = FURTHER_WAITS * waitedMillis;
        boolean canAnswer =
                ageMillis + furtherMillis <= timeoutMillis
                        && waitedMillis + furtherMillis <= patienceMillis;
        return Optional.of(ResultCode.VM_OVERLOADED).filter(code -> !canAnswer);
    }
}

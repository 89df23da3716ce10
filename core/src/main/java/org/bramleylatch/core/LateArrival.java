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
     *
     * @param waitedMillis how long the call had waited when it was handled
     */
    static Optional<ResultCode> findRefusal(Call call, RouteOptions options, long waitedMillis) {
        long timeoutMillis = options.effectiveTimeoutMillis(call.callerTimeoutMillis());
        long patienceMillis =
                options.callerPatienceMillis()
                        .map(patience -> Math.min(patience, timeoutMillis))
                        .orElse(timeoutMillis);
        if (waitedMillis >= patienceMillis) {
            return Optional.of(ResultCode.DEADLINE_EXCEEDED);
        }
        boolean canAnswer = waitedMillis * (1 + FURTHER_WAITS) <= patienceMillis;
        return waitedMillis < MIN_WAIT_MILLIS || canAnswer
                ? Optional.empty()
                : Optional.of(ResultCode.VM_OVERLOADED);
    }
}

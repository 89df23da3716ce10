package org.bramleylatch.core;

import java.util.Map;

/** Estimates how long callers should wait before they resend a request that has not run. */
public final class RetryAdvice {
    /** Other routers keep serving, so the caller only needs a new connection. */
    private static final long RECONNECT_MILLIS = 50;

    /** Twice the interval at which a keeper appends usage, which frees unused reserved tokens. */
    private static final long TOKENS_FREED_MILLIS = 1_200;

    /** At its current size, an endpoint completes several requests in this time. */
    private static final long CAPACITY_FREED_MILLIS = 300;

    private static final Map<ResultCode, Long> RETRY_AFTER_MILLIS =
            Map.of(
                    ResultCode.SHUTTING_DOWN, RECONNECT_MILLIS,
                    ResultCode.VM_OVERLOADED, RECONNECT_MILLIS,
                    ResultCode.BUDGET_UNAVAILABLE, TOKENS_FREED_MILLIS);

    private RetryAdvice() {}

    /** Returns true if the connection is to be closed, so that the caller reaches another VM. */
    public static boolean isForAnotherVm(ResultCode code) {
        return code == ResultCode.VM_OVERLOADED
                || code == ResultCode.SHUTTING_DOWN
                || code == ResultCode.CONFIGURATION_STALE;
    }

    /** Returns the milliseconds after which a request refused with the code may be served. */
    public static long retryAfterMillis(ResultCode code) {
        return RETRY_AFTER_MILLIS.getOrDefault(code, CAPACITY_FREED_MILLIS);
    }
}

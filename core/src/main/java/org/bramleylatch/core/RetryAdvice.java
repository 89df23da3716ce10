package org.bramleylatch.core;

import java.util.Map;

/** Tells callers when a request that has not run is worth sending again. */
public final class RetryAdvice {
    /** Other routers are serving; only a new connection is needed. */
    private static final long ELSEWHERE_MILLIS = 50;

    /** Two settlements of every keeper, in which what running requests leave over is freed. */
    private static final long TOKENS_MILLIS = 1_200;

    /** An endpoint of the size of today ends several requests in this. */
    private static final long PLACE_MILLIS = 300;

    private static final Map<ResultCode, Long> MILLIS =
            Map.of(
                    ResultCode.SHUTTING_DOWN, ELSEWHERE_MILLIS,
                    ResultCode.BUDGET_UNAVAILABLE, TOKENS_MILLIS);

    private RetryAdvice() {}

    /**
     * Returns after how many milliseconds a request that was refused with the code may be served.
     */
    public static long afterMillis(ResultCode code) {
        return MILLIS.getOrDefault(code, PLACE_MILLIS);
    }
}

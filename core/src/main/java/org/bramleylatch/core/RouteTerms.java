package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Holds how a router treats the requests of one route: access, retries, timeouts and back ends.
 *
 * @param host the host name that requests must carry; empty for any
 * @param open true if callers need no key
 * @param claimed true if a request that may run at most once is claimed in the log before it is
 *     sent, because callers retry it with the same key at other routers
 * @param resumeAnywhere true if another endpoint may continue a broken stream
 * @param waitsOutSilence true if a router waits for a silent endpoint until the deadline when the
 *     request can't be sent again
 * @param billsUnanswered true if a prompt that an endpoint may have processed is billed although no
 *     token arrived
 * @param mostAttempts the maximum number of attempts of one request
 * @param priority the rank among waiting requests; 0 is the most urgent
 * @param timeoutMillis the longest time until the answer is complete; 0 for the caller's own limit
 * @param targetMillis the latency objective for the start of an answer; 0 for none
 * @param split the weights of the back ends that serve the route; empty if there is only one
 */
public record RouteTerms(
        Optional<String> host,
        boolean open,
        boolean claimed,
        boolean resumeAnywhere,
        boolean waitsOutSilence,
        boolean billsUnanswered,
        int mostAttempts,
        int priority,
        long timeoutMillis,
        long targetMillis,
        List<BackEndShare> split) {
    private static final int STANDARD_MAX_ATTEMPTS = 3;
    private static final RouteTerms STANDARD =
            new RouteTerms(
                    Optional.empty(),
                    false,
                    true,
                    false,
                    false,
                    true,
                    STANDARD_MAX_ATTEMPTS,
                    0,
                    0,
                    0,
                    List.of());

    /** Copies the list. */
    public RouteTerms {
        split = List.copyOf(split);
    }

    /** Returns the options of a route whose configuration has none. */
    public static RouteTerms standard() {
        return STANDARD;
    }

    /** Returns the lower of the caller's and the route's timeout, in milliseconds. */
    public long waitMillis(long patienceMillis) {
        return timeoutMillis > 0 ? Math.min(timeoutMillis, patienceMillis) : patienceMillis;
    }
}

package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Is what a route asks of the router beyond the back end it leads to.
 *
 * @param host the host that callers name; empty for any
 * @param open true if callers need no key
 * @param claimed true if a request that may run once is claimed in the log before it is sent, since
 *     callers retry it with the same key elsewhere
 * @param resumeAnywhere true if a broken stream may go on at another endpoint
 * @param waitsOutSilence true if a silent endpoint is waited for until the deadline where the
 *     request can't be sent again
 * @param billsUnanswered true if a prompt that an endpoint may have read is billed although no
 *     token came back
 * @param mostAttempts how many endpoints one request may be sent to
 * @param priority its rank; 0 is the most urgent
 * @param timeoutMillis the longest that a caller is kept waiting; 0 for no bound
 * @param targetMillis within which the answer should begin; 0 for no target
 * @param split the back ends that share its requests; empty if there is one
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
    private static final int MOST_ATTEMPTS = 3;
    private static final RouteTerms STANDARD =
            new RouteTerms(
                    Optional.empty(),
                    false,
                    true,
                    false,
                    false,
                    true,
                    MOST_ATTEMPTS,
                    0,
                    0,
                    0,
                    List.of());

    /** Copies the list. */
    public RouteTerms {
        split = List.copyOf(split);
    }

    /** Returns the terms of a route whose configuration names none. */
    public static RouteTerms standard() {
        return STANDARD;
    }

    /** Returns the longest wait for a caller that has the given patience, in milliseconds. */
    public long waitMillis(long patienceMillis) {
        return timeoutMillis > 0 ? Math.min(timeoutMillis, patienceMillis) : patienceMillis;
    }
}

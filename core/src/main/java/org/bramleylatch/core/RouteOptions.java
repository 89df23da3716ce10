package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Holds how a router treats the requests of one route: access, retries, timeouts and back ends.
 *
 * @param host the host name that requests must carry; empty for any
 * @param allowsAnonymous true if callers need no key
 * @param claimsBeforeSending true if a request that may run at most once is claimed in the log
 *     before it is sent, because callers retry it with the same key at other routers
 * @param resumesAtAnyEndpoint true if another endpoint may continue a broken stream
 * @param waitsForSilentEndpoint true if a router waits for a silent endpoint as long as the caller
 *     does, unless the endpoint is dead or another one can answer
 * @param billsUnansweredPrompt true if a prompt that an endpoint may have processed is billed
 *     although no token arrived
 * @param maxAttempts the maximum number of attempts of one request
 * @param priority the rank among queued requests; 0 is the most urgent
 * @param timeoutMillis the longest time until the answer is complete; 0 for the caller's own limit
 * @param targetLatencyMillis the latency objective for the start of an answer; 0 for none
 * @param backEndShares the weights of the back ends that serve the route; empty if there is only
 *     one
 * @param callerPatienceMillis how long callers wait for the next part of an answer; empty if they
 *     wait until their deadline
 */
public record RouteOptions(
        Optional<String> host,
        boolean allowsAnonymous,
        boolean claimsBeforeSending,
        boolean resumesAtAnyEndpoint,
        boolean waitsForSilentEndpoint,
        boolean billsUnansweredPrompt,
        int maxAttempts,
        int priority,
        long timeoutMillis,
        long targetLatencyMillis,
        List<BackEndShare> backEndShares,
        Optional<Long> callerPatienceMillis) {
    private static final int STANDARD_MAX_ATTEMPTS = 3;
    private static final RouteOptions STANDARD =
            new RouteOptions(
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
    public RouteOptions {
        backEndShares = List.copyOf(backEndShares);
    }

    /** Returns the options of a route whose callers wait until their deadline. */
    public RouteOptions(
            Optional<String> host,
            boolean allowsAnonymous,
            boolean claimsBeforeSending,
            boolean resumesAtAnyEndpoint,
            boolean waitsForSilentEndpoint,
            boolean billsUnansweredPrompt,
            int maxAttempts,
            int priority,
            long timeoutMillis,
            long targetLatencyMillis,
            List<BackEndShare> backEndShares) {
        this(
                host,
                allowsAnonymous,
                claimsBeforeSending,
                resumesAtAnyEndpoint,
                waitsForSilentEndpoint,
                billsUnansweredPrompt,
                maxAttempts,
                priority,
                timeoutMillis,
                targetLatencyMillis,
                backEndShares,
                Optional.empty());
    }

    /** Returns the options of a route whose configuration has none. */
    public static RouteOptions standard() {
        return STANDARD;
    }

    /** Returns the lower of the caller's and the route's timeout; the route may have none. */
    public long effectiveTimeoutMillis(long callerTimeoutMillis) {
        return timeoutMillis > 0
                ? Math.min(timeoutMillis, callerTimeoutMillis)
                : callerTimeoutMillis;
    }
}

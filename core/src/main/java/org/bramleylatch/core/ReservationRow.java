package org.bramleylatch.core;

import java.util.Optional;

/**
 * Holds the tokens that a request waits for, or has reserved, of this keeper's grant.
 *
 * @param tokens the most that the request can cost
 * @param orphaned true if the router was lost, so that the endpoint is to be asked how many tokens
 *     were used
 * @param attempt the latest attempt that the router announced, empty before the first
 * @param lostAttempt the attempt of a lost router if the caller has retried through another one
 *     since
 */
public record ReservationRow(
        RequestKey key,
        Incarnation router,
        BudgetId budget,
        long tokens,
        boolean orphaned,
        Optional<NotedAttempt> attempt,
        Optional<NotedAttempt> lostAttempt) {

    /** Creates a reservation without attempts. */
    public static ReservationRow of(
            RequestKey key, Incarnation router, BudgetId budget, long tokens) {
        return new ReservationRow(
                key, router, budget, tokens, false, Optional.empty(), Optional.empty());
    }

    /** Returns a copy that is marked as orphaned. */
    public ReservationRow markOrphaned() {
        return new ReservationRow(key, router, budget, tokens, true, attempt, lostAttempt);
    }

    /** Returns a copy that is marked as orphaned, with the lost attempt as its latest one. */
    public ReservationRow markOrphanedAtLostAttempt() {
        return new ReservationRow(key, router, budget, tokens, true, lostAttempt, Optional.empty());
    }

    /**
     * Returns a copy that belongs to the router through which the caller of a lost router retried.
     */
    public ReservationRow resumedBy(Incarnation newRouter) {
        return new ReservationRow(
                key,
                newRouter,
                budget,
                tokens,
                false,
                Optional.empty(),
                attempt.or(() -> lostAttempt));
    }

    /** Returns a copy with an attempt that is about to start. */
    public ReservationRow withAttempt(NotedAttempt newAttempt) {
        return new ReservationRow(
                key, router, budget, tokens, orphaned, Optional.of(newAttempt), lostAttempt);
    }

    /** Records which endpoint an attempt of the request was sent to. */
    public record NotedAttempt(AttemptId id, EndpointId endpoint) {}
}

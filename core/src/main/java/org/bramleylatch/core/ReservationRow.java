package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is what one request may cost at most, to be set aside from this keeper's grant.
 *
 * @param tokens the worst case
 * @param orphaned true if the router was lost and the endpoint is being asked
 * @param attempt the latest attempt that the router noted
 * @param lost the attempt of a router that was lost before the caller retried through this one
 */
public record ReservationRow(
        RequestKey key,
        Incarnation router,
        BudgetId budget,
        long tokens,
        boolean orphaned,
        Optional<NotedAttempt> attempt,
        Optional<NotedAttempt> lost) {

    /** Returns a reservation without an attempt. */
    public static ReservationRow of(
            RequestKey key, Incarnation router, BudgetId budget, long tokens) {
        return new ReservationRow(
                key, router, budget, tokens, false, Optional.empty(), Optional.empty());
    }

    /** Returns the reservation of a router that was lost. */
    public ReservationRow orphan() {
        return new ReservationRow(key, router, budget, tokens, true, attempt, lost);
    }

    /** Returns the reservation for the attempt that was lost before the retry. */
    public ReservationRow orphanOfLost() {
        return new ReservationRow(key, router, budget, tokens, true, lost, Optional.empty());
    }

    /** Returns the reservation after the caller of a lost router retried through another one. */
    public ReservationRow adoptedBy(Incarnation newRouter) {
        return new ReservationRow(
                key, newRouter, budget, tokens, false, Optional.empty(), attempt.or(() -> lost));
    }

    /** Returns the reservation with the attempt that is about to start. */
    public ReservationRow noted(NotedAttempt newAttempt) {
        return new ReservationRow(
                key, router, budget, tokens, orphaned, Optional.of(newAttempt), lost);
    }

    /** Is where an attempt of the request went. */
    public record NotedAttempt(AttemptId id, EndpointId endpoint) {}
}

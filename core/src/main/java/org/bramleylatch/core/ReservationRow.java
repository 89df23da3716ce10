package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is what one request may cost at most, to be set aside from this keeper's grant.
 *
 * @param tokens the worst case
 * @param orphaned true if the router was lost and the endpoint is being asked
 * @param attempt the latest attempt that the router noted
 * @param endpoint where that attempt went
 */
public record ReservationRow(
        RequestKey key,
        Incarnation router,
        BudgetId budget,
        long tokens,
        boolean orphaned,
        Optional<AttemptId> attempt,
        Optional<EndpointId> endpoint) {

    /** Returns a reservation without an attempt. */
    public static ReservationRow of(
            RequestKey key, Incarnation router, BudgetId budget, long tokens) {
        return new ReservationRow(
                key, router, budget, tokens, false, Optional.empty(), Optional.empty());
    }

    /** Returns the reservation of a router that was lost. */
    public ReservationRow orphan() {
        return new ReservationRow(key, router, budget, tokens, true, attempt, endpoint);
    }

    /** Returns the reservation with the attempt that is about to start. */
    public ReservationRow noted(AttemptId newAttempt, EndpointId newEndpoint) {
        return new ReservationRow(
                key,
                router,
                budget,
                tokens,
                orphaned,
                Optional.of(newAttempt),
                Optional.of(newEndpoint));
    }
}

package org.bramleylatch.core;

/**
 * Holds an operator's order to move a back end's requests to another version of its endpoints.
 *
 * @param orderId unique among the orders for the back end; a later order has a higher one
 * @param durationMillis the time within which the order must end
 */
public record RolloutOrder(String backEnd, Version target, long orderId, long durationMillis) {

    /** Returns the name of the planned move that carries the order out, the same at all routers. */
    RouteName moveName() {
        return RouteName.ofOrder(backEnd, orderId);
    }
}

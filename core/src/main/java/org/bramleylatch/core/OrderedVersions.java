package org.bramleylatch.core;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Records what the operator's orders found of versions, and decides which versions may serve beside
 * the target of the newest order. A version that an order named serves only once that order's move
 * is done; if the move was taken back or replaced, it is tried again only by an order that names
 * it. A version that no order named serves.
 */
record OrderedVersions(RouterWorld world) {

    /** Records an order unless a newer one is known for its target. */
    void recordOrder(RolloutOrder order) {
        record(
                new OrderedVersionRow(
                        order.backEnd(), order.target(), order.orderId(), Optional.empty()));
    }

    /** Records the state of a move, if an order made it. */
    void recordMove(MoveRow move) {
        move.spec()
                .route()
                .order()
                .map(
                        order ->
                                new OrderedVersionRow(
                                        order.backEnd(),
                                        move.spec().to(),
                                        order.orderId(),
                                        Optional.of(move.state())))
                .ifPresent(this::record);
    }

    /** Returns which versions of the back end may serve although no move sends requests there. */
    Predicate<Version> mayServe(String backEnd) {
        return version ->
                world.orderedVersions()
                        .find(new OrderedVersionRow.Key(backEnd, version))
                        .filter(row -> !row.isProved())
                        .isEmpty();
    }

    private void record(OrderedVersionRow latest) {
        Optional<OrderedVersionRow> known = world.orderedVersions().find(latest.key());
        boolean isOutdated = known.filter(row -> row.orderId() > latest.orderId()).isPresent();
        boolean isKnownMove =
                latest.state().isEmpty()
                        && known.filter(row -> row.orderId() == latest.orderId()).isPresent();
        if (!isOutdated && !isKnownMove) {
            world.orderedVersions().put(latest.key(), latest);
        }
    }
}

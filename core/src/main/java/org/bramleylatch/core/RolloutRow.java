package org.bramleylatch.core;

import java.util.Optional;

/**
 * Tracks the latest order for a back end at one router.
 *
 * @param receivedMillis when this router learned of the order
 * @param proposedMillis when this router last asked for the move to begin; 0 if never
 * @param doneMillis when this router learned that the move is done; empty before
 * @param reported the state that this router last reported to the operator; empty before
 */
record RolloutRow(
        RolloutOrder order,
        long receivedMillis,
        long proposedMillis,
        Optional<Long> doneMillis,
        Optional<MoveRow.State> reported) {

    static RolloutRow of(RolloutOrder order, long nowMillis) {
        return new RolloutRow(order, nowMillis, 0, Optional.empty(), Optional.empty());
    }

    long deadlineMillis() {
        return receivedMillis + order.durationMillis();
    }

    RolloutRow proposed(long nowMillis) {
        return new RolloutRow(order, receivedMillis, nowMillis, doneMillis, reported);
    }

    RolloutRow done(long nowMillis) {
        return new RolloutRow(
                order, receivedMillis, proposedMillis, Optional.of(nowMillis), reported);
    }

    RolloutRow reported(MoveRow.State state) {
        return new RolloutRow(
                order, receivedMillis, proposedMillis, doneMillis, Optional.of(state));
    }
}

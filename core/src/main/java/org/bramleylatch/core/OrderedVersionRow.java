package org.bramleylatch.core;

import java.util.Optional;

/**
 * Holds what is known of a version from the newest order that named it. It outlives later orders
 * for the back end, and a restart, as the ledger keeps the move of each order.
 *
 * @param orderId the newest order whose target the version was
 * @param state the state of that order's move; empty until the log has it
 */
record OrderedVersionRow(
        String backEnd, Version version, long orderId, Optional<MoveRow.State> state) {

    /** Names a version of a back end's endpoints. */
    record Key(String backEnd, Version version) {}

    Key key() {
        return new Key(backEnd, version);
    }

    /** Returns true if the version has passed its test and serves all requests since. */
    boolean isProved() {
        return state.filter(MoveRow.State.DONE::equals).isPresent();
    }
}

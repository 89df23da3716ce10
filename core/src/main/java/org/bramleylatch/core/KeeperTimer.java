package org.bramleylatch.core;

/** Names what a keeper's deadline is for. */
sealed interface KeeperTimer {

    /** A request has waited long enough for tokens. */
    record ReserveWait(RequestKey key) implements KeeperTimer {}

    /** A request has waited long enough for its claim. */
    record IntentWait(RequestKey key) implements KeeperTimer {}

    /** An endpoint is due to be asked again. */
    record OrphanRetry(RequestKey key) implements KeeperTimer {}

    /** The next append may be sent. */
    record AppendDue() implements KeeperTimer {}

    /** The deadline of a route's move has come. */
    record MoveDeadline(RouteName route) implements KeeperTimer {}

    /** A snapshot is due unless another keeper took one. */
    record SnapshotDue() implements KeeperTimer {}

    /** No more clocks are waited for. */
    record ClocksDue() implements KeeperTimer {}

    /** The holdings are due to be looked at. */
    record Review() implements KeeperTimer {}
}

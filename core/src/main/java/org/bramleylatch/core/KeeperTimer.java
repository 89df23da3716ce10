package org.bramleylatch.core;

/** Identifies a keeper's deadline by its purpose and subject. */
sealed interface KeeperTimer {

    /** Ends a request's wait for tokens. */
    record ReserveTimeout(RequestKey key) implements KeeperTimer {}

    /** Ends a request's wait for its claim to be read back. */
    record IntentTimeout(RequestKey key) implements KeeperTimer {}

    /**
     * Queries the endpoint of an orphaned reservation for its usage, and repeats this until the
     * usage is known.
     */
    record OrphanRetry(RequestKey key) implements KeeperTimer {}

    /** Runs a tick when the next append may be sent. */
    record AppendDue() implements KeeperTimer {}

    /** Expires the planned move of a route. */
    record MoveDeadline(RouteName route) implements KeeperTimer {}

    /** Runs a tick when a snapshot is due unless another keeper has taken one by then. */
    record SnapshotDue() implements KeeperTimer {}

    /** Ends the wait for heartbeats that would confirm this process's clock. */
    record ClockTimeout() implements KeeperTimer {}

    /** Checks the grants that the keeper uses against the policy and stops tracking idle ones. */
    record GrantReview() implements KeeperTimer {}
}

package org.bramleylatch.core;

import java.util.List;

/** Groups the messages and effects that a keeper emits. */
public sealed interface KeeperOutput {

    /** Groups the messages to a router. */
    sealed interface ToRouter extends KeeperOutput {

        /** Identifies the incarnation of the router that the message is for. */
        Incarnation router();
    }

    /** Tells a router that tokens are reserved for a request, and from which grant. */
    record ReserveGranted(Incarnation router, RequestKey key, GrantKey grant) implements ToRouter {}

    /**
     * Tells a router that no tokens were reserved.
     *
     * @param lenders the keepers with enough tokens according to this keeper's ledger, the largest
     *     grant first
     */
    record ReserveRefused(
            Incarnation router, RequestKey key, ResultCode code, List<Incarnation> lenders)
            implements ToRouter {

        /** Copies the list. */
        public ReserveRefused {
            lenders = List.copyOf(lenders);
        }

        /** Creates a refusal without lenders. */
        public ReserveRefused(Incarnation router, RequestKey key, ResultCode code) {
            this(router, key, code, List.of());
        }
    }

    /** Tells a router that this keeper has its usage and will append it to the log. */
    record UsageHeld(Incarnation router, RequestKey key) implements ToRouter {}

    /**
     * Tells a router that it may forget its usage: the usage was read back from the log or, if this
     * keeper bills in sums, is queued here as part of the next sum.
     */
    record UsageDurable(Incarnation router, RequestKey key) implements ToRouter {}

    /** Tells a router that it won the claim: it alone may run the request. */
    record IntentWon(Incarnation router, RequestKey key) implements ToRouter {}

    /** Tells a router that another run was claimed earlier, and what is known about that run. */
    record IntentLost(Incarnation router, IntentRow winner) implements ToRouter {}

    /** Tells a router that it has no claim, so that the request must not run. */
    record IntentRefused(Incarnation router, RequestKey key, ResultCode code) implements ToRouter {}

    /** Tells a router the current state of a planned move. */
    record MoveChanged(Incarnation router, MoveRow move) implements ToRouter {}

    /** Passes on to a router what another one tells all. */
    record ReportRelayed(Incarnation router, RouterReport report) implements ToRouter {}

    /** Appends the records to the log, in order, in one call. */
    record AppendBatch(List<SequencedRecord> records) implements KeeperOutput {

        /** Copies the list. */
        public AppendBatch {
            records = List.copyOf(records);
        }
    }

    /**
     * Queries how many tokens an attempt of a lost router used. The answer is an {@link
     * KeeperInput.AttemptUsageReported}; where endpoints cannot be queried, it reports the maximum,
     * so that the reservation is billed in full.
     */
    record QueryAttemptUsage(RequestKey key, AttemptId attempt, EndpointId endpoint)
            implements KeeperOutput {}

    /** Writes an event to the timeline. */
    record Note(Event event) implements KeeperOutput {}

    /** Reports that the planned stop is complete: usage settled and grants returned. */
    record Stopped() implements KeeperOutput {}
}

package org.bramleylatch.core;

import java.util.List;

/** Is a message out of a keeper's world. */
public sealed interface KeeperOutput {

    /** Is a message to a router. */
    sealed interface ToRouter extends KeeperOutput {

        /** Returns the router that the message is for. */
        Incarnation router();
    }

    /** Tells a router that tokens are set aside for a request. */
    record ReserveGranted(Incarnation router, RequestKey key, GrantKey grant) implements ToRouter {}

    /**
     * Tells a router that tokens were not set aside.
     *
     * @param lenders the keepers that seem to hold enough, the richest first
     */
    record ReserveRefused(
            Incarnation router, RequestKey key, ResultCode code, List<Incarnation> lenders)
            implements ToRouter {

        /** Copies the list. */
        public ReserveRefused {
            lenders = List.copyOf(lenders);
        }

        /** Returns a refusal that names nobody else to ask. */
        public ReserveRefused(Incarnation router, RequestKey key, ResultCode code) {
            this(router, key, code, List.of());
        }
    }

    /** Tells a router that its usage is held here and will be appended. */
    record UsageHeld(Incarnation router, RequestKey key) implements ToRouter {}

    /** Tells a router that its usage was read back from the log. */
    record UsageDurable(Incarnation router, RequestKey key) implements ToRouter {}

    /** Tells a router that it may run the request, and it alone. */
    record IntentWon(Incarnation router, RequestKey key) implements ToRouter {}

    /** Tells a router that another run was claimed before, with what is known of it. */
    record IntentLost(Incarnation router, IntentRow winner) implements ToRouter {}

    /** Tells a router that no claim was made; the request must not run. */
    record IntentRefused(Incarnation router, RequestKey key, ResultCode code) implements ToRouter {}

    /** Tells a router the state of a move. */
    record MoveChanged(Incarnation router, MoveRow move) implements ToRouter {}

    /** Appends the records to the log, in order, in one call. */
    record AppendBatch(List<Numbered> records) implements KeeperOutput {

        /** Copies the list. */
        public AppendBatch {
            records = List.copyOf(records);
        }
    }

    /** Asks an endpoint what an attempt of a lost router used, and cancels it. */
    record AskEndpoint(RequestKey key, AttemptId attempt, EndpointId endpoint)
            implements KeeperOutput {}

    /** Writes a line of the time line. */
    record Note(Event event) implements KeeperOutput {}

    /** Tells that all usage is settled and all grants are returned. */
    record Stopped() implements KeeperOutput {}
}

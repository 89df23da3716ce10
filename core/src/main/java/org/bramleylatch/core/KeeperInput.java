package org.bramleylatch.core;

import java.util.List;
import java.util.OptionalLong;

/** Is a message into a keeper's world. */
public sealed interface KeeperInput {

    /**
     * A router asks for the worst case of a request, in tokens, to be set aside.
     *
     * @param borrowed true if the router's own keeper lacks them
     */
    record ReserveAsked(
            Incarnation router, RequestKey key, BudgetId budget, long tokens, boolean borrowed)
            implements KeeperInput {

        /** Returns the ask of a router whose own keeper this is. */
        public ReserveAsked(Incarnation router, RequestKey key, BudgetId budget, long tokens) {
            this(router, key, budget, tokens, false);
        }
    }

    /** A router is about to send a request to an endpoint. */
    record AttemptNoted(Incarnation router, RequestKey key, AttemptId attempt, EndpointId endpoint)
            implements KeeperInput {}

    /** A router tells what a request used; the grant may be that of another keeper. */
    record UsageGiven(Incarnation router, GrantKey grant, Usage usage) implements KeeperInput {}

    /** A router gives back a reservation of which nothing was used. */
    record ReservationReleased(Incarnation router, RequestKey key) implements KeeperInput {}

    /** A router asks to claim the single run of a request. */
    record IntentAsked(Incarnation router, RequestKey key, BudgetId budget)
            implements KeeperInput {}

    /** A router tells the outcome of a request that it had claimed. */
    record IntentEnded(RequestKey key, Incarnation router, RunState state, int status, String body)
            implements KeeperInput {}

    /** A router reports what it saw of a move. */
    record MoveSeen(LedgerRecord.MoveObserved seen) implements KeeperInput {}

    /** A router opened a link. */
    record RouterSeen(Incarnation router) implements KeeperInput {}

    /** The link to a router broke. */
    record RouterLost(Incarnation router) implements KeeperInput {}

    /** An endpoint answered what an attempt used; empty if it could not be asked. */
    record EndpointReported(RequestKey key, OptionalLong tokens) implements KeeperInput {}

    /** The log tells something. */
    record FromLog(LedgerFeed feed) implements KeeperInput {}

    /**
     * The process began.
     *
     * @param bootMillis the time of day at which the steady clock of the VM was zero
     * @param startMillis the time of day at which this process began
     */
    record ProcessBegan(long bootMillis, long startMillis) implements KeeperInput {}

    /** The operator's configuration states what was paid into budgets. */
    record FundsSeen(List<BudgetFunds> funds) implements KeeperInput {

        /** Copies the list. */
        public FundsSeen {
            funds = List.copyOf(funds);
        }
    }

    /** A planned stop begins. */
    record StopAsked() implements KeeperInput {}
}

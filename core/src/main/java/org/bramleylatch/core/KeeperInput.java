package org.bramleylatch.core;

import java.util.List;
import java.util.OptionalLong;

/** Groups the messages that a keeper handles. */
public sealed interface KeeperInput {

    /**
     * Asks the keeper to reserve tokens for a request.
     *
     * @param tokens the most that the request can cost
     * @param borrowed true if the router borrows them from a keeper other than its own
     */
    record ReserveAsked(
            Incarnation router, RequestKey key, BudgetId budget, long tokens, boolean borrowed)
            implements KeeperInput {

        /** Creates the message to the router's own keeper. */
        public ReserveAsked(Incarnation router, RequestKey key, BudgetId budget, long tokens) {
            this(router, key, budget, tokens, false);
        }
    }

    /** Announces that a router is about to send a request to an endpoint. */
    record AttemptNoted(Incarnation router, RequestKey key, AttemptId attempt, EndpointId endpoint)
            implements KeeperInput {}

    /** Reports what a request used; the grant may be that of another keeper. */
    record UsageSubmitted(Incarnation router, GrantKey grant, Usage usage) implements KeeperInput {}

    /** Releases a reservation of which nothing was used. */
    record ReservationReleased(Incarnation router, RequestKey key) implements KeeperInput {}

    /** Asks to declare the router's intent to run a request, and so to claim its single run. */
    record IntentAsked(Incarnation router, RequestKey key, BudgetId budget)
            implements KeeperInput {}

    /** Reports the outcome of a request that the router had claimed. */
    record IntentEnded(RequestKey key, Incarnation router, RunState state, int status, String body)
            implements KeeperInput {}

    /** Reports what a router observed during a planned move. */
    record MoveReported(LedgerRecord.MoveObserved report) implements KeeperInput {}

    /** Asks to begin a move that an operator ordered, unless the log has a move of that name. */
    record MoveOrdered(MoveSpec spec) implements KeeperInput {}

    /** Carries what a router tells all others; the keeper passes it on to them. */
    record RouterReported(RouterReport report) implements KeeperInput {}

    /** Reports that a router connected; the keeper answers with the state of every planned move. */
    record RouterConnected(Incarnation router) implements KeeperInput {}

    /**
     * Reports that the connection to a router was lost. Its waiting reservations are dropped; those
     * with a noted attempt become orphaned, the others are released.
     */
    record RouterDisconnected(Incarnation router) implements KeeperInput {}

    /** Reports how many tokens a request used at its endpoint; empty if that is unknown. */
    record AttemptUsageReported(RequestKey key, OptionalLong tokens) implements KeeperInput {}

    /** Carries an update from the reader of the log. */
    record FromLog(LogUpdate update) implements KeeperInput {}

    /**
     * Reports that the keeper's process started.
     *
     * @param bootMillis the time of day at which the monotonic clock of the VM was zero
     * @param startMillis the time of day at which the process started
     */
    record ProcessStarted(long bootMillis, long startMillis) implements KeeperInput {}

    /** Carries the paid totals of budgets from the operator's configuration. */
    record FundsConfigured(List<BudgetFunds> funds) implements KeeperInput {

        /** Copies the list. */
        public FundsConfigured {
            funds = List.copyOf(funds);
        }
    }

    /** Reports whether the routers of the zone ask this keeper for tokens before others. */
    record HolderSelected(boolean selected) implements KeeperInput {}

    /** Asks the keeper to stop: to settle all usage and to return all grants. */
    record StopAsked() implements KeeperInput {}
}

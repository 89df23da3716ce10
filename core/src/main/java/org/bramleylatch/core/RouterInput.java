package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/** Marks the messages that a router's world receives. */
public sealed interface RouterInput {

    /** Reports a call whose route and paying member are not resolved yet. */
    record CallArrived(Call call) implements RouterInput {}

    /** Reports that the registry lists an endpoint, or that its entry changed. */
    record EndpointAnnounced(EndpointRow endpoint) implements RouterInput {}

    /** Reports that the registry does not list an endpoint any more. */
    record EndpointWithdrawn(EndpointId endpoint) implements RouterInput {}

    /** Reports whether the last read of the endpoint registry succeeded. */
    record RegistryReachabilityReported(boolean reachable) implements RouterInput {}

    /** Reports that another endpoint answered at the address of this one. */
    record EndpointReplaced(EndpointId endpoint) implements RouterInput {}

    /** Carries a configuration, which is ignored if the router has a newer one. */
    record ConfigurationReceived(Configuration configuration) implements RouterInput {}

    /**
     * Reports that the configuration's stream was read to its end.
     *
     * @param asOfMillis up to when it was read, in milliseconds since the epoch
     */
    record ConfigurationConfirmed(long asOfMillis) implements RouterInput {}

    /** Carries a new measurement of the load of the VM that the router runs on. */
    record LoadMeasured(VmLoad load) implements RouterInput {}

    /** Carries the platform's complete list of endpoints. */
    record EndpointsListed(List<EndpointRow> endpoints) implements RouterInput {

        /** Copies the list. */
        public EndpointsListed {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** Carries an endpoint's report of the tokens that it holds and whether it is leaving. */
    record EndpointReported(EndpointId endpoint, long heldTokens, boolean leaving)
            implements RouterInput {}

    /** Reports that a keeper is connected. */
    record KeeperUp(Incarnation keeper) implements RouterInput {}

    /** Reports that the connection to a keeper broke. */
    record KeeperDown(Incarnation keeper) implements RouterInput {}

    /** Carries a request whose route and budget are known. */
    record RequestArrived(RequestSpec spec) implements RouterInput {}

    /** Reports that a keeper reserved the worst case of a request in the given grant. */
    record ReserveGranted(Incarnation keeper, RequestKey key, GrantKey grant)
            implements RouterInput {}

    /**
     * Reports that a keeper refused a reservation.
     *
     * @param lenders other keepers that may have tokens of the budget, in the order to ask them
     */
    record ReserveRefused(
            Incarnation keeper, RequestKey key, ResultCode code, List<Incarnation> lenders)
            implements RouterInput {

        /** Copies the list. */
        public ReserveRefused {
            lenders = List.copyOf(lenders);
        }

        /** Makes a refusal without lenders. */
        public ReserveRefused(Incarnation keeper, RequestKey key, ResultCode code) {
            this(keeper, key, code, List.of());
        }
    }

    /** Carries the number of known routers, this one and possibly stopped ones included. */
    record RoutersCounted(int count) implements RouterInput {}

    /** Carries entry VMs that announced themselves; those that were announced before stay known. */
    record VmsAnnounced(List<VmRow> vms) implements RouterInput {

        /** Copies the list. */
        public VmsAnnounced {
            vms = List.copyOf(vms);
        }
    }

    /** Reports that the keeper in the same process runs; it is preferred to all others. */
    record LocalKeeperUp(Incarnation keeper) implements RouterInput {}

    /** Reports that this router won the claim to run the request. */
    record IntentWon(RequestKey key) implements RouterInput {}

    /** Reports that another run of the request was claimed first. */
    record IntentLost(IntentRow winner) implements RouterInput {}

    /** Reports that the claim could not be recorded, with the reason. */
    record IntentRefused(RequestKey key, ResultCode code) implements RouterInput {}

    /** Reports that a keeper holds the usage of a request, which the log may not have yet. */
    record UsageHeld(RequestKey key) implements RouterInput {}

    /** Reports that the usage of a request was read back from the log. */
    record UsageDurable(RequestKey key) implements RouterInput {}

    /**
     * Carries tokens of an answer, of which the first has the given position.
     *
     * @param resumable false if no other attempt can continue the answer after them
     */
    record TokensArrived(
            AttemptId attempt, long position, long tokens, String text, boolean resumable)
            implements RouterInput {

        /** Makes tokens after which another attempt can continue the answer. */
        public TokensArrived(AttemptId attempt, long position, long tokens, String text) {
            this(attempt, position, tokens, text, true);
        }
    }

    /** Reports the end marker of a streamed answer of {@code position} tokens. */
    record AnswerEnded(AttemptId attempt, long position, String reason) implements RouterInput {}

    /** Carries the whole answer of a service. */
    record ServiceAnswered(AttemptId attempt, int status, String body) implements RouterInput {}

    /**
     * Reports a failed attempt.
     *
     * @param runState whether the endpoint ran the request, as far as known
     */
    record AttemptFailed(AttemptId attempt, RunState runState, String detail, Cause cause)
            implements RouterInput {

        /** Says what became of the connection to the endpoint. */
        public enum Cause {
            /** No connection could be established. */
            NOT_CONNECTED,
            /** No direct connection was established within the timeout. */
            CONNECT_TIMED_OUT,
            /** The peer that was to carry the connection could not be used. */
            PATH_FAILED,
            /** The endpoint closed or reset the connection before the answer was complete. */
            CONNECTION_LOST,
            /** The connection is open but nothing came; counted as overload when noticed. */
            SILENT,
            /** Nothing came within the timeout of a route that does not wait for longer. */
            TIMED_OUT,
            /** The connection is not the cause. */
            OTHER
        }

        /** Makes the failure of an attempt whose connection was not the cause. */
        public AttemptFailed(AttemptId attempt, RunState runState, String detail) {
            this(attempt, runState, detail, Cause.OTHER);
        }

        /** Returns true if nothing but the time that passed shows the failure. */
        public boolean timedOut() {
            return cause == Cause.CONNECT_TIMED_OUT
                    || cause == Cause.SILENT
                    || cause == Cause.TIMED_OUT;
        }

        /** Returns true if a connection to the endpoint was established. */
        public boolean connected() {
            return cause != Cause.NOT_CONNECTED
                    && cause != Cause.CONNECT_TIMED_OUT
                    && cause != Cause.PATH_FAILED;
        }
    }

    /** Reports the outcome of a probe, which tries a new connection to an endpoint. */
    record EndpointProbed(EndpointId endpoint, Outcome outcome, String detail)
            implements RouterInput {

        /** Lists what a new connection can show. */
        public enum Outcome {
            /** The connection was accepted. */
            CONNECTED,
            /** Nothing listens at the endpoint's address any more. */
            REFUSED,
            /** Nothing came back within the timeout, or there is no path to the address. */
            UNREACHABLE,
            /** The connection could not be tried, which says nothing about the endpoint. */
            NOT_TRIED
        }
    }

    /** Reports whether a peer could connect to an endpoint for this router. */
    record PathProbed(EndpointId endpoint, String peer, Outcome outcome, String detail)
            implements RouterInput {

        /** Lists what a connection through a peer can show. */
        public enum Outcome {
            /** The endpoint accepted the connection. */
            CONNECTED,
            /** The peer tried and could not connect to the endpoint. */
            ENDPOINT_FAILED,
            /** The peer was not reached, did not answer in time or carries no connections. */
            PEER_FAILED
        }
    }

    /**
     * Reports the limit that an endpoint names in an answer.
     *
     * @param requestsPerSecond what it takes from all routers together; empty if it names no limit
     */
    record RateLimitObserved(EndpointId endpoint, Optional<Double> requestsPerSecond)
            implements RouterInput {}

    /** Reports that an endpoint said in an answer that it is leaving. */
    record EndpointLeaving(EndpointId endpoint) implements RouterInput {}

    /** Reports that an endpoint refused a request and wants no others for the given time. */
    record EndpointPaused(EndpointId endpoint, long pauseMillis) implements RouterInput {}

    /**
     * Reports that an endpoint refused a request for lack of room, and that it is brittle.
     *
     * @param refusalsPerSecond what it bears from all routers together
     */
    record BrittleRefusal(EndpointId endpoint, double refusalsPerSecond) implements RouterInput {}

    /** Carries an operator's order; one that is older than a known one is ignored. */
    record RolloutOrdered(RolloutOrder order) implements RouterInput {}

    /** Carries what a router told all others. */
    record ReportReceived(RouterReport report) implements RouterInput {}

    /**
     * Reports that an output could not be handled, so that the request that it belongs to is ended
     * or goes on.
     */
    record OutputFailed(RouterOutput output, String detail) implements RouterInput {}

    /** Reports that the caller reads too slowly, or no longer does. */
    record CallerPaused(RequestId request, boolean paused) implements RouterInput {}

    /** Reports that the caller closed its connection. */
    record CallerDisconnected(RequestId request) implements RouterInput {}

    /** Carries the new state of a move. */
    record MoveChanged(MoveRow move) implements RouterInput {}

    /** Asks the router to finish the running requests, accept no new ones and stop. */
    record StopAsked() implements RouterInput {}

    /** Asks the router to answer the requests that are still open, as the process ends soon. */
    record StopTimeReached() implements RouterInput {}
}

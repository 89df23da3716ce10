package org.bramleylatch.core;

import java.util.List;

/** Is a message into a router's world. */
public sealed interface RouterInput {

    /** A caller's request arrived whose route and payer are to be found. */
    record CallArrived(Call call) implements RouterInput {}

    /** The registry lists an endpoint, or lists it with other words than before. */
    record EndpointAnnounced(EndpointRow endpoint) implements RouterInput {}

    /** The registry lists an endpoint no longer. */
    record EndpointWithdrawn(EndpointId endpoint) implements RouterInput {}

    /** The registry of endpoints answered, or did not. */
    record RegistrySeen(boolean reachable) implements RouterInput {}

    /** Another endpoint answered at the address of this one. */
    record EndpointReplaced(EndpointId endpoint) implements RouterInput {}

    /** A newer configuration is in force. */
    record ConfigurationSeen(Configuration configuration) implements RouterInput {}

    /** The platform listed these endpoints. */
    record EndpointsListed(List<EndpointRow> endpoints) implements RouterInput {

        /** Copies the list. */
        public EndpointsListed {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** An endpoint told what it holds and whether it leaves. */
    record EndpointReported(EndpointId endpoint, long heldTokens, boolean leaving)
            implements RouterInput {}

    /** A keeper can be reached. */
    record KeeperUp(Incarnation keeper) implements RouterInput {}

    /** The link to a keeper broke. */
    record KeeperDown(Incarnation keeper) implements RouterInput {}

    /** A caller sent a request. */
    record RequestArrived(RequestSpec spec) implements RouterInput {}

    /** A keeper set the worst case of a request aside. */
    record ReserveGranted(Incarnation keeper, RequestKey key, GrantKey grant)
            implements RouterInput {}

    /** A keeper refused to. */
    record ReserveRefused(
            Incarnation keeper, RequestKey key, ResultCode code, List<Incarnation> lenders)
            implements RouterInput {

        /** Copies the list. */
        public ReserveRefused {
            lenders = List.copyOf(lenders);
        }

        /** Returns a refusal that names nobody else to ask. */
        public ReserveRefused(Incarnation keeper, RequestKey key, ResultCode code) {
            this(keeper, key, code, List.of());
        }
    }

    /** So many routers are known, this one among them; gone ones may still count. */
    record RoutersKnown(int count) implements RouterInput {}

    /** The keeper in the same process is up; it is asked before others. */
    record KeeperBeside(Incarnation keeper) implements RouterInput {}

    /** This router alone may run the request. */
    record IntentWon(RequestKey key) implements RouterInput {}

    /** Another run was claimed before. */
    record IntentLost(IntentRow winner) implements RouterInput {}

    /** No claim was made. */
    record IntentRefused(RequestKey key, ResultCode code) implements RouterInput {}

    /** A keeper holds the usage of a request. */
    record UsageHeld(RequestKey key) implements RouterInput {}

    /** The usage of a request was read back from the log. */
    record UsageDurable(RequestKey key) implements RouterInput {}

    /** An endpoint sent tokens, of which the first has the given position. */
    record TokensArrived(AttemptId attempt, long position, long tokens, String text)
            implements RouterInput {}

    /** An endpoint sent the end marker of an answer of the given length. */
    record AnswerEnded(AttemptId attempt, long position, String reason) implements RouterInput {}

    /** A service answered as a whole. */
    record ServiceAnswered(AttemptId attempt, int status, String body) implements RouterInput {}

    /**
     * An attempt failed.
     *
     * @param ran what the edge knows of its run
     * @param arrived false if no connection to the endpoint could be made
     */
    record AttemptFailed(AttemptId attempt, RunState ran, String detail, boolean arrived)
            implements RouterInput {

        /** Returns the failure of an attempt that may have reached its endpoint. */
        public AttemptFailed(AttemptId attempt, RunState ran, String detail) {
            this(attempt, ran, detail, true);
        }
    }

    /** The caller reads too slowly, or has caught up. */
    record CallerPaused(RequestId request, boolean paused) implements RouterInput {}

    /** The caller hung up. */
    record CallerGone(RequestId request) implements RouterInput {}

    /** A move began, advanced or ended. */
    record MoveChanged(MoveRow move) implements RouterInput {}

    /** A planned stop begins. */
    record StopAsked() implements RouterInput {}
}

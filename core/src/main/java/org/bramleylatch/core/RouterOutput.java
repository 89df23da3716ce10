package org.bramleylatch.core;

import java.util.Optional;

/** Marks the messages that a router's world sends. */
public sealed interface RouterOutput {

    /** Carries a message to a keeper. */
    record ToKeeper(Incarnation keeper, KeeperInput message) implements RouterOutput {}

    /**
     * Sends a request to an endpoint, which starts its answer at the given token position.
     *
     * @param via the peer VM that carries the connection; empty for a direct one
     */
    record StartAttempt(
            AttemptId attempt,
            RequestId request,
            EndpointId endpoint,
            long position,
            Optional<String> via)
            implements RouterOutput {

        /** Makes an attempt over a direct connection. */
        public StartAttempt(
                AttemptId attempt, RequestId request, EndpointId endpoint, long position) {
            this(attempt, request, endpoint, position, Optional.empty());
        }
    }

    /** Cancels an attempt at its endpoint. */
    record CancelAttempt(AttemptId attempt) implements RouterOutput {}

    /** Pauses or resumes reading the answer of an attempt. */
    record PauseAttempt(AttemptId attempt, boolean paused) implements RouterOutput {}

    /** Sends tokens to the caller. */
    record DeliverTokens(RequestId request, String text) implements RouterOutput {}

    /** Ends a streamed answer and states the tokens to bill. */
    record FinishAnswer(RequestId request, String reason, long promptTokens, long answerTokens)
            implements RouterOutput {}

    /** Sends a service's whole answer to the caller. */
    record DeliverServiceAnswer(RequestId request, int status, String body)
            implements RouterOutput {}

    /**
     * Refuses a request or breaks off its answer.
     *
     * @param runState whether an endpoint ran the request, as far as known
     * @param retryAfterMillis when the request may be served; empty for what {@link RetryAdvice}
     *     says of the code
     */
    record Refuse(
            RequestId request,
            ResultCode code,
            RunState runState,
            String detail,
            Optional<Long> retryAfterMillis)
            implements RouterOutput {

        /** Makes a refusal with the usual advice on when to retry. */
        public Refuse(RequestId request, ResultCode code, RunState runState, String detail) {
            this(request, code, runState, detail, Optional.empty());
        }
    }

    /** Opens a connection to an endpoint and closes it again; no request is sent. */
    record ProbeEndpoint(EndpointId endpoint) implements RouterOutput {}

    /** Asks a peer VM to connect to an endpoint; no request is sent. */
    record ProbePath(EndpointId endpoint, String peer) implements RouterOutput {}

    /** Tells the operator how an order stands. */
    record ReportRollout(RolloutOrder order, MoveRow.State state) implements RouterOutput {}

    /** Stores what this router tells all others, so that it outlasts the processes. */
    record StoreReport(RouterReport report) implements RouterOutput {}

    /** Appends an event to the timeline. */
    record Note(Event event) implements RouterOutput {}

    /** Reports that the stop is complete: no request is left and all usage is durable. */
    record Stopped() implements RouterOutput {}
}

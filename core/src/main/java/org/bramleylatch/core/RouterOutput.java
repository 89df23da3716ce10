package org.bramleylatch.core;

/** Is a message out of a router's world. */
public sealed interface RouterOutput {

    /** Carries a message to a keeper. */
    record ToKeeper(Incarnation keeper, KeeperInput message) implements RouterOutput {}

    /** Sends a request to an endpoint, from the given position of its answer. */
    record StartAttempt(AttemptId attempt, RequestId request, EndpointId endpoint, long position)
            implements RouterOutput {}

    /** Cancels an attempt at its endpoint. */
    record CancelAttempt(AttemptId attempt) implements RouterOutput {}

    /** Stops or resumes reading from an endpoint. */
    record PauseAttempt(AttemptId attempt, boolean paused) implements RouterOutput {}

    /** Passes tokens on to the caller. */
    record DeliverTokens(RequestId request, String text) implements RouterOutput {}

    /** Ends a streamed answer. */
    record FinishAnswer(RequestId request, String reason, long promptTokens, long answerTokens)
            implements RouterOutput {}

    /** Passes a service's answer on to the caller. */
    record DeliverService(RequestId request, int status, String body) implements RouterOutput {}

    /** Refuses a request, or breaks its answer off, with what is known of the run. */
    record Refuse(RequestId request, ResultCode code, RunState ran, String detail)
            implements RouterOutput {}

    /** Writes a line of the time line. */
    record Note(Event event) implements RouterOutput {}

    /** Tells that no request is left and all usage is durable. */
    record Stopped() implements RouterOutput {}
}

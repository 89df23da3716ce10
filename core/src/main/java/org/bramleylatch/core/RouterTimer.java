package org.bramleylatch.core;

/** Identifies a timer of a router by what is due and by the row that it concerns. */
sealed interface RouterTimer {

    /** Ends a request at the caller's deadline. */
    record RequestDeadline(RequestId request) implements RouterTimer {}

    /** Ends the wait for a keeper's answer to a reservation. */
    record ReserveTimeout(RequestId request) implements RouterTimer {}

    /** Lets the router ask a keeper again that left a reservation without an answer. */
    record KeeperRetrial(Incarnation keeper) implements RouterTimer {}

    /** Checks whether an attempt is paused, or its endpoint silent, for too long. */
    record AttemptSilenceCheck(AttemptId attempt) implements RouterTimer {}

    /** Refuses a request that has waited too long for an endpoint. */
    record QueueTimeout(RequestId request) implements RouterTimer {}

    /** Removes an endpoint that is still not listed some time after an outage of the registry. */
    record WithdrawalDue(EndpointId endpoint) implements RouterTimer {}

    /** Looks for requests that nothing takes any further. */
    record OwnershipCheck() implements RouterTimer {}

    /** Wakes the router to report the attempts during moves. */
    record MoveReport() implements RouterTimer {}

    /** Proposes a roll-out's move again, or reports its end. */
    record RolloutCheck(String backEnd) implements RouterTimer {}

    /** Places waiting requests once endpoints with a limit may take them. */
    record PermitCheck() implements RouterTimer {}

    /** Checks whether direct paths to endpoints that were down are up again. */
    record PathCheck() implements RouterTimer {}

    /** Drops evidence of crashes that has expired. */
    record EvidenceExpiry() implements RouterTimer {}

    /** Ends an answer although no keeper has confirmed that it holds the usage. */
    record UsageHoldTimeout(RequestKey key) implements RouterTimer {}
}

package org.bramleylatch.core;

/** Names what a router's deadline is for. */
sealed interface RouterTimer {

    /** The caller of a request stops waiting. */
    record RequestDeadline(RequestId request) implements RouterTimer {}

    /** A keeper has had long enough to answer. */
    record ReserveWait(RequestId request) implements RouterTimer {}

    /** An attempt is due to be checked for silence. */
    record AttemptCheck(AttemptId attempt) implements RouterTimer {}

    /** A request has waited long enough for an endpoint. */
    record QueueWait(RequestId request) implements RouterTimer {}

    /** An endpoint that the registry lists no longer is due to be taken as gone. */
    record WithdrawalDue(EndpointId endpoint) implements RouterTimer {}

    /** What was seen of moves is due to be reported. */
    record MoveReport() implements RouterTimer {}

    /** The end of an answer has waited long enough for a keeper. */
    record HoldWait(RequestKey key) implements RouterTimer {}
}

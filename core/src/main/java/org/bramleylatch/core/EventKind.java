package org.bramleylatch.core;

import java.util.EnumSet;
import java.util.Set;

/** Names the kinds of timeline entries; the names are written to the timeline as they are. */
public enum EventKind {
    PROCESS_STARTED,
    PROCESS_STOPPED,
    /** A step of a planned stop is done; what is still open. */
    STOP_STEP,
    /** The process closed a caller's connection on which it waited for the caller. */
    CONNECTION_CLOSED,
    SETTINGS_RELOADED,
    /** The event loop was late; requests that were read then may have waited as long. */
    LOOP_LATE,
    REQUEST_ARRIVED,
    /** A request was ignored, as its connection closes after the answer to an earlier one. */
    REQUEST_UNREAD,
    REQUEST_FINISHED,
    REQUEST_REFUSED,
    /** The first event of a streamed answer was written to the caller. */
    ANSWER_STARTED,
    /** Nothing more is written to the caller: the answer is complete or its connection closed. */
    ANSWER_ENDED,
    ATTEMPT_STARTED,
    /** The head of an answer arrived for an attempt: on which connection, and what it names. */
    ATTEMPT_ANSWERED,
    /** An attempt whose request was written has ended without the head of an answer. */
    ATTEMPT_UNANSWERED,
    ATTEMPT_ENDED,
    ATTEMPT_FAILED,
    /** An endpoint has sent nothing for an attempt for a while; whether it is probed. */
    ATTEMPT_SILENT,
    /** An attempt was cancelled to free its endpoint while the caller does not read. */
    ATTEMPT_PARKED,
    /** An endpoint is out of this VM's reach but not of a peer's, which carries attempts now. */
    LINK_DOWN,
    /** An endpoint is in this VM's reach again. */
    LINK_UP,
    /** This VM is cut off from its endpoints; peers carry all attempts. */
    LINKS_CUT,
    /** An endpoint broke attempts off and then refused a connection. */
    ENDPOINT_CRASHED,
    /** An endpoint broke attempts off but still accepts connections. */
    ENDPOINT_CONNECTION_RESET,
    /** An endpoint named a limit on the requests per second from all routers, or another one. */
    ENDPOINT_LIMITED,
    /** An endpoint no longer names a limit. */
    ENDPOINT_LIMIT_ENDED,
    /** Requests with a part of a prompt that crashes endpoints are refused from now on. */
    PART_QUARANTINED,
    /** Requests with a part of a prompt are sent to endpoints again. */
    PART_RELEASED,
    /** A message was ignored because its attempt is unknown or its position was seen before. */
    MESSAGE_DROPPED,
    RESERVATION_GRANTED,
    RESERVATION_REFUSED,
    /** The router of a started attempt was lost; its endpoint is asked for the usage. */
    RESERVATION_ORPHANED,
    /** A router asked another keeper for tokens that its own keeper lacks. */
    LENDER_ASKED,
    /** A router can now send requests to a keeper. */
    KEEPER_FOUND,
    /** An endpoint refused a request and named a time in which it wants no others. */
    ENDPOINT_PAUSED,
    /** A router lost the connection to a keeper. */
    KEEPER_LOST,
    /** A keeper left a reservation without an answer; others are asked for a while. */
    KEEPER_SILENT,
    /** A keeper left a reservation without an answer on a VM that is late; it is waited for. */
    KEEPER_AWAITED,
    /** The log came back from a copy; a keeper reads it from its beginning. */
    ERA_BEGAN,
    /** A keeper proposed to freeze all or part of the grants of its earlier incarnation. */
    HOLDER_FROZEN,
    /** A keeper asked for free tokens of a budget. */
    GRANT_ASKED,
    /** A keeper returned unused tokens of its grant to the budget. */
    GRANT_RETURNED,
    /** The amounts of a budget; written with every snapshot. */
    BUDGET_STATE,
    /** A keeper took over a request's usage, which is not settled in the log yet. */
    USAGE_HELD,
    /** A keeper read a request's usage back from the log. */
    USAGE_SETTLED,
    /** A router may run a request that must not run twice. */
    INTENT_WON,
    /** A router may not run a request because another run of it was claimed first. */
    INTENT_LOST,
    /** A request that must not run twice has ended. */
    INTENT_FINISHED,
    /** A keeper gets no answers from the log. */
    LOG_AWAY,
    /** A keeper gets answers from the log again. */
    LOG_BACK,
    SNAPSHOT_TAKEN,
    SNAPSHOT_LOADED,
    CONFIGURATION_APPLIED,
    /** How many bytes a VM moved over its link in a second, by use. */
    LINK_USED,
    /** A VM that can't keep up asks for no new connections. */
    ROTATION_LEFT,
    /** A VM asks for new connections again. */
    ROTATION_JOINED,
    /** A router gets no answers from the endpoint registry. */
    REGISTRY_AWAY,
    /** A router gets answers from the endpoint registry again. */
    REGISTRY_BACK,
    /** An endpoint gets no new requests: it is draining or no longer listed. */
    ENDPOINT_LEAVING,
    /** A router stopped a new endpoint version on the evidence of its own attempts. */
    VERSION_STOPPED,
    /** An operator ordered that a back end moves to another version. */
    ROLLOUT_ORDERED,
    /** The operator is told how an order stands. */
    ROLLOUT_REPORTED,
    /** A planned move began, entered a stage, or ended. */
    MOVE_ADVANCED,
    ADMIN_CALLED;

    private static final Set<EventKind> STEPS =
            EnumSet.of(
                    CONNECTION_CLOSED,
                    ANSWER_STARTED,
                    ATTEMPT_STARTED,
                    ATTEMPT_ANSWERED,
                    ATTEMPT_UNANSWERED,
                    ATTEMPT_ENDED,
                    ATTEMPT_FAILED,
                    ATTEMPT_SILENT,
                    ATTEMPT_PARKED,
                    MESSAGE_DROPPED,
                    RESERVATION_GRANTED,
                    RESERVATION_REFUSED,
                    LENDER_ASKED,
                    GRANT_ASKED,
                    GRANT_RETURNED,
                    USAGE_HELD,
                    USAGE_SETTLED);

    private static final Set<EventKind> REQUESTS =
            EnumSet.of(
                    REQUEST_ARRIVED,
                    REQUEST_UNREAD,
                    REQUEST_FINISHED,
                    ANSWER_ENDED,
                    RESERVATION_ORPHANED,
                    BUDGET_STATE,
                    INTENT_WON,
                    INTENT_LOST,
                    INTENT_FINISHED);

    /** Returns the rank of events of this kind in a log with a limited rate. */
    public EventPriority priority() {
        if (STEPS.contains(this)) {
            return EventPriority.STEP;
        }
        if (REQUESTS.contains(this)) {
            return EventPriority.REQUEST;
        }
        return this == REQUEST_REFUSED ? EventPriority.REFUSAL : EventPriority.PROCESS;
    }
}

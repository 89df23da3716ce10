package org.bramleylatch.gateway;

import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.StreamBound;

/**
 * Turns the events of one attempt's stream into router messages, and finds those that are wrong.
 */
final class EventRelay {
    private final AttemptId attempt;
    private final int tokensPerEvent;
    private final InstantSource clock;
    private final Consumer<RouterInput> inbox;
    private final StringBuilder firstComments = new StringBuilder();
    private StreamBound bound;
    private OptionalLong lastEventId;
    private long deliveredTokens;
    private boolean hasEvent;

    /**
     * Creates a relay.
     *
     * @param deliveredTokens the number of tokens of the answer that the caller has received from
     *     earlier attempts
     * @param lastEventId the id of the last event that the caller has received, if any
     * @param tokensPerEvent the number of tokens in each event
     * @param bound the most that a sound endpoint sends
     */
    EventRelay(
            AttemptId attempt,
            long deliveredTokens,
            OptionalLong lastEventId,
            int tokensPerEvent,
            StreamBound bound,
            InstantSource clock,
            Consumer<RouterInput> inbox) {
        this.attempt = attempt;
        this.deliveredTokens = deliveredTokens;
        this.lastEventId = lastEventId;
        this.tokensPerEvent = tokensPerEvent;
        this.bound = bound;
        this.clock = clock;
        this.inbox = inbox;
    }

    /** Returns true once an event that is no comment was forwarded. */
    boolean hasEvent() {
        return hasEvent;
    }

    /** Forwards an event or a comment; returns why the stream has failed, or empty. */
    Optional<String> forward(ServerSentEvent event) {
        if (!event.isWellFormed()) {
            return Optional.of("sent " + event.text().length() + " bytes that are no event");
        }
        bound = event.isComment() ? bound.withComment() : bound.withEvent();
        Optional<String> excess = bound.findExcess(clock.millis());
        if (excess.isPresent()) {
            return excess;
        }
        return event.isComment() ? forwardComment(event) : forwardTokens(event);
    }

    /** Reports the end of a complete stream. */
    void end() {
        if (!firstComments.isEmpty()) {
            send(deliveredTokens, 0, "");
        }
        inbox.accept(new RouterInput.AnswerEnded(attempt, deliveredTokens, "stop"));
    }

    /**
     * Forwards a comment, which holds no token. Comments before the first event wait for it, since
     * they neither begin an answer nor go on with one.
     */
    private Optional<String> forwardComment(ServerSentEvent comment) {
        if (hasEvent) {
            send(deliveredTokens, 0, comment.text());
            return Optional.empty();
        }
        firstComments.append(comment.text());
        return firstComments.length() > EventSplitter.MAX_EVENT_BYTES
                ? Optional.of("sent " + firstComments.length() + " bytes before the first event")
                : Optional.empty();
    }

    /**
     * Forwards an event with the position of its first token. A repeated event has an earlier
     * position, so that the router drops it, and does not count as delivered.
     */
    private Optional<String> forwardTokens(ServerSentEvent event) {
        if (!continuesAnswer(event)) {
            return Optional.of("does not go on after event " + lastEventId.getAsLong());
        }
        long skippedEvents = skippedEvents(event);
        if (skippedEvents > 0) {
            return Optional.of("lacks " + skippedEvents + " events at position " + deliveredTokens);
        }
        long firstTokenPosition = deliveredTokens + skippedEvents * tokensPerEvent;
        if (skippedEvents == 0) {
            deliveredTokens += tokensPerEvent;
            hasEvent = true;
            lastEventId = event.id();
        }
        send(firstTokenPosition, tokensPerEvent, event.text());
        return Optional.empty();
    }

    private void send(long position, int tokens, String text) {
        boolean isResumable = !hasEvent || lastEventId.isPresent();
        inbox.accept(
                new RouterInput.TokensArrived(
                        attempt, position, tokens, firstComments + text, isResumable));
        firstComments.setLength(0);
    }

    /**
     * Returns false if the event is the first one of a resumed answer and not the successor of the
     * caller's last event. A run that starts over may differ from the earlier one, so that its
     * later events can't follow either.
     */
    private boolean continuesAnswer(ServerSentEvent event) {
        return hasEvent
                || lastEventId.isEmpty()
                || event.id().equals(OptionalLong.of(lastEventId.getAsLong() + 1));
    }

    private long skippedEvents(ServerSentEvent event) {
        return event.id().isPresent() && lastEventId.isPresent()
                ? event.id().getAsLong() - lastEventId.getAsLong() - 1
                : 0;
    }
}

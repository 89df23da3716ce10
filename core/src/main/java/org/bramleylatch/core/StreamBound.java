package org.bramleylatch.core;

import java.util.Optional;

/**
 * Counts what an endpoint sends in one stream against the most that a sound one sends. An event
 * holds at least one token, so that the request names how many there can be. Comments keep a
 * connection alive, so that their number may grow with time and with the events.
 *
 * @param maxEvents the most events, those that close the stream included
 * @param startedMillis when the attempt started, in milliseconds since the epoch
 * @param events the events so far
 * @param comments the comments and empty events so far
 */
public record StreamBound(long maxEvents, long startedMillis, long events, long comments) {
    /** Covers usage, the reason of the end and its marker, each in several events. */
    static final long CLOSING_EVENTS = 16;

    /** Bounds a request that names no number: longer than answers of models in use. */
    static final long UNCOUNTED_EVENTS = 64 * 1024;

    /** Covers an introduction, such as a proxy's padding, in front of the first event. */
    static final long FIRST_COMMENTS = 64;

    /** Allows a keep-alive every 50 ms, the pause that callers accept between two tokens. */
    static final long COMMENTS_PER_SECOND = 20;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the bound of a stream of which nothing has arrived.
     *
     * @param maxAnswerTokens the most tokens of the answer; 0 if the request names no number
     */
    public static StreamBound of(long maxAnswerTokens, long nowMillis) {
        long maxEvents = maxAnswerTokens > 0 ? maxAnswerTokens + CLOSING_EVENTS : UNCOUNTED_EVENTS;
        return new StreamBound(maxEvents, nowMillis, 0, 0);
    }

    /** Returns the bound after one more event. */
    public StreamBound withEvent() {
        return new StreamBound(maxEvents, startedMillis, events + 1, comments);
    }

    /** Returns the bound after one more comment or empty event. */
    public StreamBound withComment() {
        return new StreamBound(maxEvents, startedMillis, events, comments + 1);
    }

    /** Returns the bound that the stream has exceeded; empty if there is none. */
    public Optional<String> findExcess(long nowMillis) {
        if (events > maxEvents) {
            return Optional.of("sent more than " + maxEvents + " events");
        }
        long maxComments = maxComments(nowMillis);
        return comments > maxComments
                ? Optional.of("sent more than " + maxComments + " comments and empty events")
                : Optional.empty();
    }

    private long maxComments(long nowMillis) {
        long ageMillis = Math.max(0, nowMillis - startedMillis);
        return FIRST_COMMENTS + events + ageMillis * COMMENTS_PER_SECOND / MILLIS_PER_SECOND;
    }
}

package org.bramleylatch.core;

import java.util.Optional;

/**
 * Tracks one running attempt of a request at an endpoint.
 *
 * @param heldTokens the most memory that the attempt may need at the endpoint, in tokens
 * @param unreadTokens the length of the prompt until the first token arrives, 0 afterwards
 * @param nextPosition the position of the next expected token
 * @param firstMillis when the first token arrived, 0 if none has
 * @param progressMillis when the attempt last made progress or was paused or resumed; {@code
 *     startedMillis} at first
 * @param paused true while the caller reads too slowly
 */
public record AttemptRow(
        AttemptId id,
        RequestId request,
        EndpointId endpoint,
        long heldTokens,
        long unreadTokens,
        long nextPosition,
        long startedMillis,
        long firstMillis,
        long progressMillis,
        boolean paused) {

    /** Returns the attempt after the given number of expected tokens arrived. */
    public AttemptRow advanced(long tokens, long nowMillis) {
        return new AttemptRow(
                id,
                request,
                endpoint,
                heldTokens,
                0,
                nextPosition + tokens,
                startedMillis,
                firstMillis == 0 ? nowMillis : firstMillis,
                nowMillis,
                paused);
    }

    /** Returns the time from the start to the first token; empty until it arrives. */
    public Optional<Long> firstTokenMillis() {
        return firstMillis == 0 ? Optional.empty() : Optional.of(firstMillis - startedMillis);
    }

    /** Returns the attempt after its caller stopped or resumed reading. */
    public AttemptRow paused(boolean isPaused, long nowMillis) {
        return new AttemptRow(
                id,
                request,
                endpoint,
                heldTokens,
                unreadTokens,
                nextPosition,
                startedMillis,
                firstMillis,
                nowMillis,
                isPaused);
    }
}

package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is one running try of a request at an endpoint.
 *
 * @param heldTokens what the attempt may need in the endpoint's memory
 * @param unreadTokens the length of the prompt until the first token comes, 0 from then on
 * @param nextPosition the position of the next token that is expected
 * @param startedMillis when the attempt was started
 * @param firstMillis when its first token came, 0 while none has
 * @param progressMillis when the last message of it came
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

    /** Returns the attempt after tokens arrived in order. */
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

    /** Returns how long the first token took, in milliseconds; empty while none has come. */
    public Optional<Long> firstTokenMillis() {
        return firstMillis == 0 ? Optional.empty() : Optional.of(firstMillis - startedMillis);
    }

    /** Returns the attempt as paused or not. */
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

package org.bramleylatch.core;

import java.util.Optional;

/**
 * Tracks one running attempt of a request at an endpoint.
 *
 * @param worstCaseTokens the most memory that the attempt may need at the endpoint, in tokens
 * @param unprocessedPromptTokens the length of the prompt until the first token arrives, 0
 *     afterwards
 * @param nextPosition the position of the next expected token
 * @param firstTokenAtMillis when the first token arrived, 0 if none has
 * @param lastProgressMillis when the attempt last made progress or was paused or resumed; {@code
 *     startedMillis} at first
 * @param paused true while the caller reads too slowly
 * @param via the peer VM that carries the connection; empty for a direct one
 */
public record AttemptRow(
        AttemptId id,
        RequestId request,
        EndpointId endpoint,
        long worstCaseTokens,
        long unprocessedPromptTokens,
        long nextPosition,
        long startedMillis,
        long firstTokenAtMillis,
        long lastProgressMillis,
        boolean paused,
        Optional<String> via) {

    /** Makes an attempt over a direct connection. */
    public AttemptRow(
            AttemptId id,
            RequestId request,
            EndpointId endpoint,
            long worstCaseTokens,
            long unprocessedPromptTokens,
            long nextPosition,
            long startedMillis,
            long firstTokenAtMillis,
            long lastProgressMillis,
            boolean paused) {
        this(
                id,
                request,
                endpoint,
                worstCaseTokens,
                unprocessedPromptTokens,
                nextPosition,
                startedMillis,
                firstTokenAtMillis,
                lastProgressMillis,
                paused,
                Optional.empty());
    }

    /** Returns the attempt after the given number of expected tokens arrived. */
    public AttemptRow tokensReceived(long tokens, long nowMillis) {
        return new AttemptRow(
                id,
                request,
                endpoint,
                worstCaseTokens,
                0,
                nextPosition + tokens,
                startedMillis,
                firstTokenAtMillis == 0 ? nowMillis : firstTokenAtMillis,
                nowMillis,
                paused,
                via);
    }

    /** Returns the time from the start to the first token; empty until it arrives. */
    public Optional<Long> firstTokenLatencyMillis() {
        return firstTokenAtMillis == 0
                ? Optional.empty()
                : Optional.of(firstTokenAtMillis - startedMillis);
    }

    /** Returns the attempt after its caller stopped or resumed reading. */
    public AttemptRow withPaused(boolean isPaused, long nowMillis) {
        return new AttemptRow(
                id,
                request,
                endpoint,
                worstCaseTokens,
                unprocessedPromptTokens,
                nextPosition,
                startedMillis,
                firstTokenAtMillis,
                nowMillis,
                isPaused,
                via);
    }
}

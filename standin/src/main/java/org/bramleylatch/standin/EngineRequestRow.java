package org.bramleylatch.standin;

/**
 * Holds the progress of one request in the simulated engine.
 *
 * @param attempt the id that the router sent, or a generated id of a direct request
 * @param promptTokens the length of the prompt
 * @param answerTokens the length of the complete answer
 * @param worstCaseTokens memory reserved for the prompt and the longest answer
 * @param nextPosition the position in the answer of the next token to generate
 * @param prefillDoneAtMillis when the prompt is processed, in milliseconds since the epoch
 * @param running false once the answer has ended or was cancelled
 */
record EngineRequestRow(
        String attempt,
        long promptTokens,
        long answerTokens,
        long worstCaseTokens,
        long nextPosition,
        long prefillDoneAtMillis,
        boolean running) {

    /** Makes a copy with the position advanced by one token. */
    EngineRequestRow advanceByOneToken() {
        return new EngineRequestRow(
                attempt,
                promptTokens,
                answerTokens,
                worstCaseTokens,
                nextPosition + 1,
                prefillDoneAtMillis,
                running);
    }

    /** Makes a copy that is no longer running. */
    EngineRequestRow markEnded() {
        return new EngineRequestRow(
                attempt,
                promptTokens,
                answerTokens,
                worstCaseTokens,
                nextPosition,
                prefillDoneAtMillis,
                false);
    }

    /**
     * Adds up the prompt and the answer before the next position, which includes tokens that an
     * earlier attempt generated before a resume; 0 at position 0.
     */
    long usedTokens() {
        return nextPosition == 0 ? 0 : promptTokens + nextPosition;
    }
}

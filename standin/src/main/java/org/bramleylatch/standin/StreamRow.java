package org.bramleylatch.standin;

/**
 * Is one request that an engine holds.
 *
 * @param promptTokens the length of the prompt
 * @param answerTokens the length of the whole answer
 * @param heldTokens what the request may need in memory
 * @param position the position of the next token
 * @param prefillMillis when the prompt will have been read
 * @param running false once the answer ended or was cancelled
 */
record StreamRow(
        String attempt,
        long promptTokens,
        long answerTokens,
        long heldTokens,
        long position,
        long prefillMillis,
        boolean running) {

    /** Returns the stream after one more token. */
    StreamRow advanced() {
        return new StreamRow(
                attempt,
                promptTokens,
                answerTokens,
                heldTokens,
                position + 1,
                prefillMillis,
                running);
    }

    /** Returns the stream after its end. */
    StreamRow ended() {
        return new StreamRow(
                attempt, promptTokens, answerTokens, heldTokens, position, prefillMillis, false);
    }

    /** Returns what the attempt used so far, in tokens. */
    long usedTokens() {
        return position == 0 ? 0 : promptTokens + position;
    }
}

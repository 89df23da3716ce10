package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Holds a caller's request before its route and budget are resolved.
 *
 * @param id unique among the requests of this router
 * @param key the key under which the request is billed
 * @param host the host named by the caller
 * @param path the request's path
 * @param keySha256 the SHA-256 of the caller's API key, in lower-case hexadecimal digits; empty if
 *     the caller sent none
 * @param promptTokens the length of the prompt
 * @param maxAnswerTokens the maximum length of the answer
 * @param sharedPrefixTokens the length of the prompt prefix that other requests share
 * @param prefixHash a hash of the shared prefix
 * @param sharedPartIds the ids of the prompt's parts that other requests may share, in order
 * @param fingerprint a hash that only repeats of the request have in common
 * @param arrivedMillis when the head could have been read
 * @param headReadMillis when the head was read; the caller sent it no later
 * @param completedMillis when the end of the body could have been read
 * @param callerTimeoutMillis how long the caller waits, counted from the arrival
 */
public record Call(
        RequestId id,
        RequestKey key,
        String host,
        String path,
        Optional<String> keySha256,
        long promptTokens,
        long maxAnswerTokens,
        long sharedPrefixTokens,
        long prefixHash,
        List<String> sharedPartIds,
        String fingerprint,
        long arrivedMillis,
        long headReadMillis,
        long completedMillis,
        long callerTimeoutMillis) {

    /** Copies the list. */
    public Call {
        sharedPartIds = List.copyOf(sharedPartIds);
    }
}

package org.bramleylatch.core;

import java.util.Optional;

/**
 * Is a caller's request before its route and its payer are known.
 *
 * @param id its identity, unique among the requests of this router
 * @param key the key that it is billed under
 * @param host the host that the caller named
 * @param path the path of its target
 * @param keySha256 the SHA-256 of the caller's key, in lower-case hexadecimal digits
 * @param promptTokens the length of the prompt
 * @param mostTokens the longest answer
 * @param sharedTokens the part of the prompt that other requests share
 * @param prefixHash a hash of the shared part
 * @param arrivedMillis when it arrived
 * @param patienceMillis how long the caller waits, from its arrival
 */
public record Call(
        RequestId id,
        RequestKey key,
        String host,
        String path,
        Optional<String> keySha256,
        long promptTokens,
        long mostTokens,
        long sharedTokens,
        long prefixHash,
        long arrivedMillis,
        long patienceMillis) {}

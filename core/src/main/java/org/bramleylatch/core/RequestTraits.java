package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;

/**
 * Holds the properties of a request that affect its placement, its order in the queue and billing.
 *
 * @param sharedPrefixTokens the length of the prompt prefix that an endpoint may have cached for
 *     other requests
 * @param sharedPartIds the ids of the prompt's parts that other requests may share, in order
 * @param fingerprint a hash that only repeats of the request have in common; empty if not known
 * @param priority the rank among queued requests; 0 is the most urgent
 * @param metered true if the request is billed to a budget
 * @param arrivalUncertaintyMillis how much later than assumed the request may have arrived
 */
public record RequestTraits(
        long sharedPrefixTokens,
        List<String> sharedPartIds,
        Optional<String> fingerprint,
        int priority,
        boolean metered,
        long arrivalUncertaintyMillis) {
    private static final RequestTraits STANDARD = new RequestTraits(0, List.of(), 0, true);

    /** Copies the list. */
    public RequestTraits {
        sharedPartIds = List.copyOf(sharedPartIds);
    }

    /** Returns the traits of a request that arrived when it was read. */
    public RequestTraits(
            long sharedPrefixTokens, List<String> sharedPartIds, int priority, boolean metered) {
        this(sharedPrefixTokens, sharedPartIds, Optional.empty(), priority, metered, 0);
    }

    /** Returns the traits of a request whose prompt's parts are not known. */
    public RequestTraits(long sharedPrefixTokens, int priority, boolean metered) {
        this(sharedPrefixTokens, List.of(), priority, metered);
    }

    /** Returns the traits of a metered request with no shared prefix and the highest priority. */
    public static RequestTraits standard() {
        return STANDARD;
    }
}

package org.bramleylatch.core;

/**
 * Holds the properties of a request that affect its placement, its order in the queue and billing.
 *
 * @param sharedPrefixTokens the length of the prompt prefix that an endpoint may have cached for
 *     other requests
 * @param priority the rank among queued requests; 0 is the most urgent
 * @param metered true if the request is billed to a budget
 */
public record RequestTraits(long sharedPrefixTokens, int priority, boolean metered) {
    private static final RequestTraits STANDARD = new RequestTraits(0, 0, true);

    /** Returns the traits of a metered request with no shared prefix and the highest priority. */
    public static RequestTraits standard() {
        return STANDARD;
    }
}

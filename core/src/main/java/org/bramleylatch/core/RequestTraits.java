package org.bramleylatch.core;

/**
 * Is what a request brings along beyond its size and its price.
 *
 * @param sharedTokens the part of the prompt that other requests may have left in an endpoint's
 *     cache
 * @param priority its rank among waiting requests; 0 is the most urgent
 * @param metered true if a budget pays for it
 */
public record RequestTraits(long sharedTokens, int priority, boolean metered) {
    private static final RequestTraits STANDARD = new RequestTraits(0, 0, true);

    /** Returns the traits of a request that says nothing of them. */
    public static RequestTraits standard() {
        return STANDARD;
    }
}

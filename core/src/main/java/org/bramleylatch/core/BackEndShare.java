package org.bramleylatch.core;

/**
 * Is the part of a route's requests that goes to one back end.
 *
 * @param backEnd the service that runs them
 * @param weight its share, relative to the other weights of the route; at least 0
 */
public record BackEndShare(String backEnd, int weight) {

    /** Returns a share of the given weight. */
    public static BackEndShare of(String backEnd, int weight) {
        return new BackEndShare(backEnd, weight);
    }
}

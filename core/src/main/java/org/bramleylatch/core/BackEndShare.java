package org.bramleylatch.core;

/**
 * Holds the share of a route's requests that goes to one back end.
 *
 * @param weight the share relative to the sum of the route's weights; at least 0
 */
public record BackEndShare(String backEnd, int weight) {

    /** Returns a share with the given relative weight, at least 0. */
    public static BackEndShare of(String backEnd, int weight) {
        return new BackEndShare(backEnd, weight);
    }
}

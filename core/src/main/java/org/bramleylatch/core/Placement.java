package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the endpoint for an attempt. */
@FunctionalInterface
public interface Placement {

    /**
     * Returns the endpoint to use.
     *
     * @param spec the request
     * @param zone the router's zone
     * @param candidates endpoints that are open and have room, in order of their ids
     * @return empty only if there is no candidate
     */
    Optional<EndpointRow> choose(RequestSpec spec, Zone zone, List<EndpointRow> candidates);

    /** Returns the choice by the work before the first token, with a home for shared parts. */
    static Placement bySharedPrefix() {
        return new PrefixPlacement();
    }

    /** Returns the placement by zone, load and prefix affinity. */
    static Placement byAffinity() {
        return new AffinityPlacement();
    }

    /** Returns the baseline that takes the endpoint with the fewest own requests. */
    static Placement leastOutstanding() {
        return (spec, zone, candidates) ->
                candidates.stream().min(Comparator.comparingInt(row -> row.load().outstanding()));
    }
}

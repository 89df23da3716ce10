package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the endpoint for an attempt. */
@FunctionalInterface
public interface Placement {

    /**
     * Returns the endpoint to use, empty only if there is no candidate.
     *
     * @param zone the router's zone
     * @param candidates endpoints that accept work and have capacity for the request, in order of
     *     their ids
     */
    Optional<EndpointRow> choose(RequestSpec spec, Zone zone, List<EndpointRow> candidates);

    /**
     * Returns the endpoint that probably has the request's shared prefix in its cache; empty if
     * this placement does not keep prefixes at particular endpoints.
     *
     * @param accepting endpoints that accept work, with or without capacity for the request
     */
    default Optional<EndpointRow> findCached(RequestSpec spec, List<EndpointRow> accepting) {
        return Optional.empty();
    }

    /**
     * Returns the placement by the expected work before the first token, with one preferred
     * endpoint for each shared prefix over all zones.
     */
    static Placement bySharedPrefix() {
        return new PrefixPlacement();
    }

    /**
     * Returns the placement by zone, load and prefix affinity, with one preferred endpoint for each
     * prefix and zone.
     */
    static Placement byAffinity() {
        return new AffinityPlacement();
    }

    /**
     * Returns the placement at the endpoint with the fewest requests of this router, a baseline to
     * compare others with.
     */
    static Placement leastOutstanding() {
        return (spec, zone, candidates) ->
                candidates.stream().min(Comparator.comparingInt(row -> row.load().outstanding()));
    }
}

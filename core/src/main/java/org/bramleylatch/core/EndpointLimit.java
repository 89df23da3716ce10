package org.bramleylatch.core;

import java.util.Optional;

/**
 * Holds what an endpoint named in its latest answer to one router.
 *
 * @param requestsPerSecond what it takes from all routers together; empty if it named no limit
 * @param observedMillis the time of the answer by the router's clock, in milliseconds since the
 *     epoch
 */
public record EndpointLimit(
        EndpointId endpoint, Optional<Double> requestsPerSecond, long observedMillis) {}

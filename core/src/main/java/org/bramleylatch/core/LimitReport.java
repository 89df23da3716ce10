package org.bramleylatch.core;

import java.util.List;

/**
 * Holds the limits that endpoints named to one router in the last seconds, and the demand by which
 * it takes part in them.
 */
public record LimitReport(
        Incarnation router, List<EndpointLimit> limits, List<BackEndDemand> demands)
        implements RouterReport {

    /** Copies the lists. */
    public LimitReport {
        limits = List.copyOf(limits);
        demands = List.copyOf(demands);
    }
}

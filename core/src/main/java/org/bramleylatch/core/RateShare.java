package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides a router's share of an endpoint's limit. Routers use an endpoint in proportion to their
 * demand. Each bucket may save one request, so the number of routers that use an endpoint is
 * bounded by its limit: the first in rendezvous order, on which routers agree without
 * communication. Thus the sum stays near the limit in every span of a few seconds, however many
 * routers there are.
 */
record RateShare(RouterWorld world, long nowMillis) {
    /** If no router was told of the limit for this long, those that use the endpoint are idle. */
    private static final long UNUSED_MILLIS = 5_000;

    /** The saved requests of all routers stay within half a limit's worth of four seconds. */
    private static final double USERS_PER_REQUEST_PER_SECOND = 1.5;

    private static final int MIN_USERS = 3;

    /** A router without demand keeps this part of a mean share for its next request. */
    private static final double MIN_DEMAND_FACTOR = 0.1;

    /**
     * Returns the requests per second that this router may send to the endpoint. Routers that it
     * can't reach keep their part, so that both sides of a network partition together stay within
     * the limit.
     */
    double perSecond(RateLimitRow row) {
        List<String> reachableVms = reachableVms();
        int reachable = Math.max(1, reachableVms.size());
        int routers = Math.max(world.routerCount(), reachable);
        double allowedPerSecond = row.allowedPerSecond(nowMillis);
        Optional<String> self = world.localKeeper().map(Incarnation::vm);
        boolean isUnused = nowMillis - row.heardMillis() > UNUSED_MILLIS;
        if (isUnused || self.isEmpty()) {
            return allowedPerSecond / routers;
        }
        double reachablePerSecond = allowedPerSecond * reachable / routers;
        long maxUsers = (long) (MIN_USERS + USERS_PER_REQUEST_PER_SECOND * reachablePerSecond);
        List<String> users =
                Rendezvous.order(row.endpoint().value(), reachableVms).stream()
                        .limit(maxUsers)
                        .toList();
        return users.contains(self.get())
                ? reachablePerSecond * demandShare(row.endpoint(), self.get(), users)
                : 0;
    }

    /**
     * Returns the VMs that this router can reach. It is connected to the holders only, so it takes
     * the other VMs of a zone as reachable if it reaches a holder there.
     */
    private List<String> reachableVms() {
        Set<String> connected =
                world.keepers().stream().map(Incarnation::vm).collect(Collectors.toSet());
        if (world.holders().isEmpty()) {
            return List.copyOf(connected);
        }
        return world.vms()
                .rows()
                .filter(row -> isReachable(row, connected))
                .map(VmRow::vm)
                .toList();
    }

    private boolean isReachable(VmRow row, Set<String> connected) {
        boolean isReachedZone =
                row.zone().equals(world.zone())
                        || world.holders().holdersOf(row.zone()).stream()
                                .anyMatch(connected::contains);
        return connected.contains(row.vm()) || isReachedZone && !world.holders().contains(row.vm());
    }

    private double demandShare(EndpointId endpoint, String self, List<String> users) {
        String backEnd = world.endpoints().find(endpoint).map(EndpointRow::backEnd).orElse("");
        double known = 0;
        int unknown = 0;
        for (String user : users) {
            Optional<Double> demand = demand(backEnd, user);
            known += demand.orElse(0.0);
            unknown += demand.isPresent() ? 0 : 1;
        }
        double mean = known == 0 ? 1 : known / (users.size() - unknown);
        double sum = users.stream().mapToDouble(user -> boundedDemand(backEnd, user, mean)).sum();
        return boundedDemand(backEnd, self, mean) / sum;
    }

    /** Returns the demand of a router; that of one that has not told it is taken as the mean. */
    private double boundedDemand(String backEnd, String user, double mean) {
        return Math.max(MIN_DEMAND_FACTOR * mean, demand(backEnd, user).orElse(mean));
    }

    private Optional<Double> demand(String backEnd, String user) {
        return world.localKeeper().map(Incarnation::vm).filter(user::equals).isPresent()
                ? Optional.of(new RateLimits(world, nowMillis).demandPerSecond(backEnd))
                : world.demands().find(new RouterWorld.DemandSource(user, backEnd));
    }
}

package org.bramleylatch.core;

/**
 * Applies changes of the endpoint registry to the router's table of endpoints. During an outage of
 * the registry, entries expire although their endpoints are alive. An endpoint that is missing
 * right after the outage is therefore removed only after it has had time to register again.
 */
record RegistryUpdates(RouterWorld world, RouterLimits limits, long nowMillis) {

    /** Adds or updates an endpoint and cancels its delayed removal. */
    boolean applyAnnouncement(RouterInput.EndpointAnnounced announced) {
        EndpointRow listing = announced.endpoint();
        world.timers().clear(new RouterTimer.WithdrawalDue(listing.id()));
        boolean wasLeaving =
                world.endpoints()
                        .find(listing.id())
                        .filter(e -> e.leavingSignals().isLeaving())
                        .isPresent();
        new FleetUpdates(world, limits, nowMillis).addOrUpdate(listing);
        if (listing.leavingSignals().isLeaving() && !wasLeaving) {
            world.note(EventKind.ENDPOINT_LEAVING, listing.id(), "registry lists it as draining");
        }
        return true;
    }

    /** Removes an endpoint, with a delay if the registry has just recovered from an outage. */
    boolean applyWithdrawal(RouterInput.EndpointWithdrawn withdrawn) {
        long graceEndMillis = world.registryRecoveredMillis() + limits.registryGraceMillis();
        if (nowMillis < graceEndMillis) {
            RouterTimer due = new RouterTimer.WithdrawalDue(withdrawn.endpoint());
            world.timers().set(due, graceEndMillis);
        } else {
            remove(withdrawn.endpoint());
        }
        return true;
    }

    /** Withdraws an endpoint; one that still runs requests is removed after the last of them. */
    boolean remove(EndpointId endpoint) {
        world.endpoints().find(endpoint).ifPresent(this::remove);
        return true;
    }

    /** Records whether the registry is reachable, and when its last outage ended. */
    boolean applyReachability(RouterInput.RegistryReachabilityReported reported) {
        if (reported.reachable() && world.isRegistryAway()) {
            world.setRegistryRecoveredMillis(nowMillis);
        }
        if (reported.reachable() != world.isRegistryReachable()) {
            EventKind kind =
                    reported.reachable() ? EventKind.REGISTRY_BACK : EventKind.REGISTRY_AWAY;
            world.note(kind, "registry", "endpoints=" + world.endpoints().size());
        }
        world.setRegistryReachable(reported.reachable());
        return true;
    }

    private void remove(EndpointRow row) {
        world.note(
                EventKind.ENDPOINT_LEAVING,
                row.id(),
                "no longer in the registry, or replaced at its address");
        new FleetUpdates(world, limits, nowMillis).withdraw(row);
    }
}

package org.bramleylatch.core;

/**
 * Keeps the table of endpoints in step with the registry that they announce themselves in. While
 * the registry is away its entries lapse although their endpoints live, so an entry that is missing
 * right after the registry's return counts as gone only once the endpoint had time to come back.
 */
record RegistryView(RouterWorld world, RouterLimits limits, long nowMillis) {

    boolean announce(RouterInput.EndpointAnnounced announced) {
        EndpointRow listing = announced.endpoint();
        world.timers().clear(new RouterTimer.WithdrawalDue(listing.id()));
        boolean wasLeaving =
                world.endpoints().find(listing.id()).filter(e -> e.leaving().isSaid()).isPresent();
        new RouterView(world, limits, nowMillis).merge(listing);
        if (listing.leaving().isSaid() && !wasLeaving) {
            world.note(EventKind.ENDPOINT_LEAVING, listing.id(), "registry says draining");
        }
        return true;
    }

    boolean withdraw(RouterInput.EndpointWithdrawn withdrawn) {
        long settledMillis = world.registryBackMillis() + limits.registrySettleMillis();
        if (nowMillis < settledMillis) {
            RouterTimer due = new RouterTimer.WithdrawalDue(withdrawn.endpoint());
            world.timers().set(due, settledMillis);
        } else {
            remove(withdrawn.endpoint());
        }
        return true;
    }

    boolean remove(EndpointId endpoint) {
        world.endpoints().find(endpoint).ifPresent(this::remove);
        return true;
    }

    boolean see(RouterInput.RegistrySeen seen) {
        if (seen.reachable() && !world.isRegistryReachable()) {
            world.setRegistryBackMillis(nowMillis);
        }
        if (seen.reachable() != world.isRegistryReachable()) {
            EventKind kind = seen.reachable() ? EventKind.REGISTRY_BACK : EventKind.REGISTRY_AWAY;
            world.note(kind, "registry", "endpoints=" + world.endpoints().size());
        }
        world.setRegistryReachable(seen.reachable());
        return true;
    }

    private void remove(EndpointRow row) {
        world.note(EventKind.ENDPOINT_LEAVING, row.id(), "registry lists it no longer");
        new RouterView(world, limits, nowMillis).unlist(row);
    }
}

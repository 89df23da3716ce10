package org.bramleylatch.core;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/** Chooses the keepers that pass on what a router tells all others. */
record ReportRelays(RouterWorld world) {
    private static final int MAX_RELAYS = 2;

    /**
     * Returns the local keeper if all other routers connect to it. Otherwise two holders of the
     * zone, as one may be about to end; without VMs that announced themselves, all keepers.
     */
    Collection<Incarnation> choose() {
        if (world.holders().isEmpty()) {
            return world.localKeeper().map(Set::of).orElse(world.keepers());
        }
        return world.localKeeper()
                .filter(keeper -> world.holders().contains(keeper.vm()))
                .map(List::of)
                .orElseGet(
                        () ->
                                new HolderOrder(world)
                                        .inZone(world.self().stableName()).stream()
                                                .limit(MAX_RELAYS)
                                                .toList());
    }
}

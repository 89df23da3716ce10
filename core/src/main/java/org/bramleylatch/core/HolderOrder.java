package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Orders the keepers that a router asks for the tokens of a budget. All routers of a zone begin
 * with the same one, so that the zone's part of the budget is in one place.
 */
record HolderOrder(RouterWorld world) {
    /** Further zones cost more of a caller's time than a late refusal is worth. */
    private static final int MAX_LENDERS = 6;

    /**
     * Returns the connected keepers of this router's zone that answer, then the local keeper. If no
     * VM announced itself, the local keeper, or else all connected ones.
     */
    List<Incarnation> inZone(String key) {
        if (world.holders().isEmpty()) {
            return world.localKeeper()
                    .map(List::of)
                    .orElseGet(() -> Rendezvous.firsts(key, answering().toList(), MAX_LENDERS));
        }
        return Stream.concat(ofZone(world.zone(), key), world.localKeeper().stream())
                .distinct()
                .toList();
    }

    /**
     * Returns the keepers that may hold tokens which the zone's first keeper lacks: those that it
     * named, the others of its zone, and the first ones of all other zones. If no VM announced
     * itself, all connected ones after those named.
     */
    List<Incarnation> lenders(String key, List<Incarnation> named) {
        Stream<Incarnation> others =
                world.holders().isEmpty()
                        ? Rendezvous.firsts(key, answering().toList(), Long.MAX_VALUE).stream()
                        : Stream.concat(
                                        inZone(key).stream(),
                                        world.holders().zones().stream()
                                                .flatMap(zone -> ofZone(zone, key).limit(1)))
                                .limit(MAX_LENDERS);
        return Stream.concat(named.stream(), others).distinct().toList();
    }

    private Stream<Incarnation> ofZone(Zone zone, String key) {
        return Rendezvous.order(key, world.holders().holdersOf(zone)).stream()
                .flatMap(vm -> keeperAt(vm).stream());
    }

    private Optional<Incarnation> keeperAt(String vm) {
        return answering().filter(keeper -> keeper.vm().equals(vm)).findFirst();
    }

    private Stream<Incarnation> answering() {
        return world.keepers().stream().filter(keeper -> !world.silentKeepers().contains(keeper));
    }
}

package org.bramleylatch.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Finds connections whose row in the world is gone. Only those that lack it at two checks in a row
 * count, as messages between the world and the connections may be on their way.
 *
 * @param <K> the type of the row's key
 */
final class OrphanCheck<K> {
    private Set<K> suspects = Set.of();

    /** Returns the keys that the world does not know now and did not know at the last check. */
    List<K> findOrphans(Collection<K> keys, Predicate<K> isKnown) {
        Set<K> unknown =
                keys.stream().filter(key -> !isKnown.test(key)).collect(Collectors.toSet());
        List<K> orphans = unknown.stream().filter(suspects::contains).toList();
        suspects = unknown;
        return orphans;
    }
}

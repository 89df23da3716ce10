package org.bramleylatch.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Finds what is wrong at two checks in a row. Once may be a coincidence: messages between the
 * router and the connections may be on their way, or the process was paused between two checks.
 *
 * @param <K> the type of what is checked, such as the key of a row
 */
final class ConsecutiveCheck<K> {
    private Set<K> suspects = Set.of();

    /** Returns the keys that are not sound now and were not at the last check. */
    List<K> findFailing(Collection<K> keys, Predicate<K> isSound) {
        Set<K> failing =
                keys.stream().filter(key -> !isSound.test(key)).collect(Collectors.toSet());
        List<K> confirmed = failing.stream().filter(suspects::contains).toList();
        suspects = failing;
        return confirmed;
    }
}

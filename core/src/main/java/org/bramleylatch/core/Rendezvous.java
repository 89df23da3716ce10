package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Selects by rendezvous hashing, so that processes agree on a candidate without communication. */
public final class Rendezvous {

    private Rendezvous() {}

    /** Returns the candidate with the highest weight for the key; empty without candidates. */
    public static Optional<Incarnation> first(String key, Collection<Incarnation> candidates) {
        return candidates.stream().max(Comparator.comparingLong(c -> weight(key, c)));
    }

    /** Returns the first candidates in the order for the key, at most the given number. */
    static List<Incarnation> firsts(
            String key, Collection<Incarnation> candidates, long maxCandidates) {
        Map<Long, Incarnation> byWeight = new TreeMap<>(Comparator.reverseOrder());
        candidates.forEach(candidate -> byWeight.put(weight(key, candidate), candidate));
        return byWeight.values().stream().limit(maxCandidates).toList();
    }

    /** Returns the names in the order for the key. */
    static List<String> order(String key, Collection<String> names) {
        Map<Long, String> byWeight = new TreeMap<>(Comparator.reverseOrder());
        names.forEach(name -> byWeight.put(weight(key, name), name));
        return List.copyOf(byWeight.values());
    }

    private static long weight(String key, Incarnation candidate) {
        return weight(key, candidate.value());
    }

    private static long weight(String key, String name) {
        return Hashing.murmur3_128().hashString(key + '/' + name, StandardCharsets.UTF_8).asLong();
    }
}

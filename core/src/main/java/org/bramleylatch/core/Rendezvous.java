package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Selects by rendezvous hashing, so that processes agree on a candidate without communication. */
public final class Rendezvous {

    private Rendezvous() {}

    /** Returns the candidate with the highest weight for the key; empty without candidates. */
    public static Optional<Incarnation> first(String key, Collection<Incarnation> candidates) {
        return candidates.stream().max(Comparator.comparingLong(c -> weight(key, c)));
    }

    /** Returns how many of the candidates come before the given one in the order for the key. */
    static int rank(String key, Incarnation candidate, Collection<Incarnation> candidates) {
        long ownWeight = weight(key, candidate);
        return (int) candidates.stream().filter(other -> weight(key, other) > ownWeight).count();
    }

    private static long weight(String key, Incarnation candidate) {
        return Hashing.murmur3_128()
                .hashString(key + '/' + candidate.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}

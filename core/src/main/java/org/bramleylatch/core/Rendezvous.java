package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Orders candidates by rendezvous hashing, so that processes agree without talking. */
public final class Rendezvous {

    private Rendezvous() {}

    /** Returns the candidate that ranks first for the key; empty if there is none. */
    public static Optional<Incarnation> first(String key, Collection<Incarnation> candidates) {
        return candidates.stream().max(Comparator.comparingLong(c -> weight(key, c)));
    }

    private static long weight(String key, Incarnation candidate) {
        return Hashing.murmur3_128()
                .hashString(key + '/' + candidate.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}

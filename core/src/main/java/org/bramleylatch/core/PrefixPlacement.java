package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint with the least work before the first token. Every router expects the shared
 * part of a prompt in the cache of the same endpoint, the first in rendezvous order over all zones,
 * so that each part is held once and routers need not tell each other.
 */
final class PrefixPlacement implements Placement {
    /** What a request that is under way costs the next one, in tokens of prompt. */
    private static final double OUTSTANDING_TOKENS = 60;

    /** What leaving the zone costs, in tokens of prompt. */
    private static final double OTHER_ZONE_TOKENS = 50;

    /** Spreads requests among endpoints that are equally good, in tokens of prompt. */
    private static final double SPREAD_TOKENS = 30;

    private static final double HASHES = 1L << 53;
    private static final int HASH_SHIFT_BITS = 11;

    @Override
    public Optional<EndpointRow> choose(RequestSpec spec, Zone zone, List<EndpointRow> candidates) {
        Optional<EndpointId> home =
                spec.traits().sharedTokens() == 0
                        ? Optional.empty()
                        : candidates.stream()
                                .max(Comparator.comparingLong(row -> hash(spec.prefixHash(), row)))
                                .map(EndpointRow::id);
        return candidates.stream()
                .min(Comparator.comparingDouble(row -> cost(spec, zone, row, home)));
    }

    private static double cost(
            RequestSpec spec, Zone zone, EndpointRow row, Optional<EndpointId> home) {
        boolean cached = home.filter(row.id()::equals).isPresent();
        double prompt = spec.promptTokens() - (cached ? spec.traits().sharedTokens() : 0);
        double distance = row.zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS;
        double spread = (hash(spec.key().low(), row) >>> HASH_SHIFT_BITS) / HASHES * SPREAD_TOKENS;
        return row.load().unreadTokens()
                + prompt
                + row.load().outstanding() * OUTSTANDING_TOKENS
                + distance
                + spread;
    }

    private static long hash(long seed, EndpointRow row) {
        return Hashing.murmur3_128((int) (seed ^ seed >>> Integer.SIZE))
                .hashString(row.id().value(), StandardCharsets.UTF_8)
                .asLong();
    }
}

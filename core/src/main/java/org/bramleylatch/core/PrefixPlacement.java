package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint with the least expected work before the first token. Every router expects
 * the shared prefix of a prompt in the cache of the same endpoint, the first in rendezvous order
 * over all zones, so that each prefix is cached once and routers agree without communication.
 */
final class PrefixPlacement implements Placement {
    /** The delay that a running request adds to the next one, in prompt tokens. */
    private static final double OUTSTANDING_REQUEST_COST_TOKENS = 60;

    /** The cost of an endpoint in another zone, in prompt tokens. */
    private static final double OTHER_ZONE_COST_TOKENS = 50;

    /** The largest random cost, which spreads requests over equal endpoints, in prompt tokens. */
    private static final double MAX_SPREAD_COST_TOKENS = 30;

    private static final double HASH_RANGE = 1L << 53;
    private static final int HASH_SHIFT_BITS = 11;

    @Override
    public Optional<EndpointRow> choose(RequestSpec spec, Zone zone, List<EndpointRow> candidates) {
        Optional<EndpointId> preferred = findCached(spec, candidates).map(EndpointRow::id);
        return candidates.stream()
                .min(Comparator.comparingDouble(row -> cost(spec, zone, row, preferred)));
    }

    @Override
    public Optional<EndpointRow> findCached(RequestSpec spec, List<EndpointRow> accepting) {
        return spec.traits().sharedPrefixTokens() == 0
                ? Optional.empty()
                : accepting.stream()
                        .max(Comparator.comparingLong(row -> hash(spec.prefixHash(), row)));
    }

    private static double cost(
            RequestSpec spec, Zone zone, EndpointRow row, Optional<EndpointId> preferred) {
        boolean isCached = preferred.filter(row.id()::equals).isPresent();
        double promptCost =
                spec.promptTokens() - (isCached ? spec.traits().sharedPrefixTokens() : 0);
        double zoneCost = row.zone().equals(zone) ? 0 : OTHER_ZONE_COST_TOKENS;
        double spreadCost =
                (hash(spec.key().low(), row) >>> HASH_SHIFT_BITS)
                        / HASH_RANGE
                        * MAX_SPREAD_COST_TOKENS;
        return row.load().unprocessedPromptTokens()
                + promptCost
                + row.load().outstanding() * OUTSTANDING_REQUEST_COST_TOKENS
                + zoneCost
                + spreadCost;
    }

    private static long hash(long seed, EndpointRow row) {
        return Hashing.murmur3_128((int) (seed ^ seed >>> Integer.SIZE))
                .hashString(row.id().value(), StandardCharsets.UTF_8)
                .asLong();
    }
}

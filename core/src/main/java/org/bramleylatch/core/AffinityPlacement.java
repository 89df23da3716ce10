package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint with the least expected work before the first token. The work is the sum of
 * the prompts that wait there, the request's own prompt, of which only a fraction counts if its
 * prefix is probably cached, and costs for the tokens that the endpoint holds, for the requests
 * that run there and for another zone. Each prefix has one preferred endpoint in each zone, found
 * by rendezvous hashing, so that routers agree without communication.
 */
final class AffinityPlacement implements Placement {
    /** The fraction of a prompt that is still to be processed if its prefix is cached. */
    private static final double CACHED_PROMPT_FRACTION = 0.1;

    /** The cost of each token that the endpoint holds, in prompt tokens. */
    private static final double HELD_TOKEN_COST = 0.05;

    /** The cost of an endpoint in another zone, in prompt tokens. */
    private static final double OTHER_ZONE_COST_TOKENS = 2_000;

    /** The cost of each request that this router runs there, in prompt tokens. */
    private static final double OUTSTANDING_REQUEST_COST_TOKENS = 30;

    @Override
    public Optional<EndpointRow> choose(RequestSpec spec, Zone zone, List<EndpointRow> candidates) {
        Optional<EndpointId> preferred =
                candidates.stream()
                        .filter(row -> row.zone().equals(zone))
                        .max(Comparator.comparingLong(row -> weight(spec, row)))
                        .map(EndpointRow::id);
        return candidates.stream()
                .min(Comparator.comparingDouble(row -> cost(spec, zone, row, preferred)));
    }

    /** Returns the expected work before the first token, in prompt tokens. */
    private static double cost(
            RequestSpec spec, Zone zone, EndpointRow row, Optional<EndpointId> preferred) {
        boolean isCached = preferred.filter(row.id()::equals).isPresent();
        double promptCost = spec.promptTokens() * (isCached ? CACHED_PROMPT_FRACTION : 1);
        double zoneCost = row.zone().equals(zone) ? 0 : OTHER_ZONE_COST_TOKENS;
        double loadCost =
                row.load().estimatedTokens() * HELD_TOKEN_COST
                        + row.load().outstanding() * OUTSTANDING_REQUEST_COST_TOKENS;
        return row.load().unprocessedPromptTokens() + promptCost + loadCost + zoneCost;
    }

    private static long weight(RequestSpec spec, EndpointRow row) {
        return Hashing.murmur3_128((int) spec.prefixHash())
                .hashString(row.id().value(), StandardCharsets.UTF_8)
                .asLong();
    }
}

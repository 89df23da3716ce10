package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint that should give the first token soonest: the prompts that wait there, this
 * prompt unless its prefix is thought to be cached, and a part of what the endpoint holds. A prefix
 * has one preferred endpoint in a zone, on which routers agree without talking.
 */
final class AffinityPlacement implements Placement {
    private static final double CACHED_PART = 0.1;
    private static final double HELD_PART = 0.05;
    private static final double OTHER_ZONE_TOKENS = 2_000;
    private static final double OUTSTANDING_TOKENS = 30;

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

    /** Returns the work before the first token, in tokens of a prompt. */
    private static double cost(
            RequestSpec spec, Zone zone, EndpointRow row, Optional<EndpointId> preferred) {
        boolean cached = preferred.filter(row.id()::equals).isPresent();
        double prompt = spec.promptTokens() * (cached ? CACHED_PART : 1);
        double distance = row.zone().equals(zone) ? 0 : OTHER_ZONE_TOKENS;
        double busy =
                row.load().heldTokens() * HELD_PART + row.load().outstanding() * OUTSTANDING_TOKENS;
        return row.load().unreadTokens() + prompt + busy + distance;
    }

    private static long weight(RequestSpec spec, EndpointRow row) {
        return Hashing.murmur3_128((int) spec.prefixHash())
                .hashString(row.id().value(), StandardCharsets.UTF_8)
                .asLong();
    }
}

package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses by load, own zone and prefix affinity: a prompt prefix has a preferred order of
 * endpoints, and the first of them is taken while it is not much fuller than the others.
 */
final class AffinityPlacement implements Placement {
    private static final double OTHER_ZONE_COST = 0.25;
    private static final double AFFINITY_GAIN = 0.2;

    @Override
    public Optional<EndpointRow> choose(RequestSpec spec, Zone zone, List<EndpointRow> candidates) {
        Optional<EndpointRow> preferred =
                candidates.stream()
                        .filter(row -> row.zone().equals(zone))
                        .max(Comparator.comparingLong(row -> weight(spec, row)));
        return candidates.stream()
                .min(Comparator.comparingDouble(row -> cost(spec, zone, row, preferred)));
    }

    private static double cost(
            RequestSpec spec, Zone zone, EndpointRow row, Optional<EndpointRow> preferred) {
        double load = row.loadWith(spec.worstCaseTokens());
        double distance = row.zone().equals(zone) ? 0 : OTHER_ZONE_COST;
        double affinity = preferred.filter(row::equals).isPresent() ? AFFINITY_GAIN : 0;
        return load + distance - affinity;
    }

    private static long weight(RequestSpec spec, EndpointRow row) {
        return Hashing.murmur3_128((int) spec.prefixHash())
                .hashString(row.id().value(), StandardCharsets.UTF_8)
                .asLong();
    }
}

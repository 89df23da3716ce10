package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Selects the endpoints that a router uses, so that the number of health probes does not grow with
 * the product of routers and endpoints. For each back end and version it takes the first endpoints
 * in an order that differs by router, those of the router's own zone first.
 *
 * @param maxPerVersion the maximum number of endpoints of one back end and version
 */
record EndpointSubset(Incarnation self, Zone zone, int maxPerVersion) {

    /** Returns the listed endpoints that the router uses. */
    List<EndpointRow> select(List<EndpointRow> listed) {
        return listed.stream()
                .collect(Collectors.groupingBy(row -> row.backEnd() + '/' + row.version()))
                .values()
                .stream()
                .flatMap(group -> group.stream().sorted(order()).limit(maxPerVersion))
                .toList();
    }

    private Comparator<EndpointRow> order() {
        return Comparator.<EndpointRow, Boolean>comparing(row -> !row.zone().equals(zone))
                .thenComparingLong(this::weight);
    }

    private long weight(EndpointRow row) {
        return Hashing.murmur3_128()
                .hashString(self.value() + '/' + row.id(), StandardCharsets.UTF_8)
                .asLong();
    }
}

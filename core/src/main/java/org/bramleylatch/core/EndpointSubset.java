package org.bramleylatch.core;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Picks the endpoints that a router uses, so that probes do not grow as routers times endpoints:
 * for each back end and version the first ones of the router's own order, its zone before others.
 *
 * @param most the most endpoints of one back end and version
 */
record EndpointSubset(Incarnation self, Zone zone, int most) {

    /** Returns the endpoints to use, of those that are listed. */
    List<EndpointRow> of(List<EndpointRow> listed) {
        return listed.stream()
                .collect(Collectors.groupingBy(row -> row.backEnd() + '/' + row.version()))
                .values()
                .stream()
                .flatMap(group -> group.stream().sorted(order()).limit(most))
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

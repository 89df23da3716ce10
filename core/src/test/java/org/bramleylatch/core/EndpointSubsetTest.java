package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EndpointSubsetTest {
    private static final Zone OWN_ZONE = Zone.of("langnau");
    private static final Zone OTHER_ZONE = Zone.of("huttwil");

    @Test
    void endpointsOfTheOwnZoneAreUsedFirst() {
        List<EndpointRow> listed =
                Stream.concat(endpoints(OTHER_ZONE, "v1", 20), endpoints(OWN_ZONE, "v1", 4))
                        .toList();
        List<EndpointRow> used = subset("router-1", 4).select(listed);
        assertThat(used).hasSize(4).allMatch(row -> row.zone().equals(OWN_ZONE));
    }

    @Test
    void endpointsOfOtherZonesAreUsedIfTheOwnZoneHasTooFew() {
        List<EndpointRow> listed =
                Stream.concat(endpoints(OTHER_ZONE, "v1", 20), endpoints(OWN_ZONE, "v1", 1))
                        .toList();
        assertThat(subset("router-1", 4).select(listed)).hasSize(4);
    }

    @Test
    void endpointsOfEveryVersionAreUsed() {
        List<EndpointRow> listed =
                Stream.concat(endpoints(OWN_ZONE, "v1", 20), endpoints(OWN_ZONE, "v2", 1)).toList();
        assertThat(subset("router-1", 4).select(listed))
                .extracting(EndpointRow::version)
                .contains(Version.of("v2"));
    }

    @Test
    void everyEndpointIsUsedBySomeRouters() {
        List<EndpointRow> listed = endpoints(OWN_ZONE, "v1", 100).toList();
        long[] routerCounts = new long[100];
        for (int router = 0; router < 200; router++) {
            subset("router-" + router, 20).select(listed).stream()
                    .mapToInt(row -> Integer.parseInt(row.id().value().split("-")[2]))
                    .forEach(index -> routerCounts[index]++);
        }
        assertThat(LongStream.of(routerCounts)).allMatch(count -> count >= 10 && count <= 80);
    }

    private static EndpointSubset subset(String router, int maxPerVersion) {
        return new EndpointSubset(Incarnation.of(router), OWN_ZONE, maxPerVersion);
    }

    private static Stream<EndpointRow> endpoints(Zone zone, String version, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> EndpointId.of(zone + "-" + version + "-" + index))
                .map(id -> EndpointRow.of(id, "seilhelfer", zone, Version.of(version), 1_000));
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class PrefixPlacementTest {
    private static final Zone ZONE = Zone.of("langnau");
    private static final Zone OTHER_ZONE = Zone.of("huttwil");

    private final Placement placement = Placement.bySharedPrefix();
    private final List<EndpointRow> engines =
            IntStream.range(0, 6).mapToObj(PrefixPlacementTest::engine).toList();

    @Test
    void requestsWithTheSameSharedPrefixGoToTheSameEndpointFromEveryZone() {
        EndpointId chosen = choose(7, 1, ZONE, engines);
        assertThat(LongStream.range(2, 40).mapToObj(key -> choose(7, key, OTHER_ZONE, engines)))
                .containsOnly(chosen);
    }

    @Test
    void sharedPrefixesSpreadOverAllEndpoints() {
        assertThat(
                        LongStream.range(0, 200)
                                .mapToObj(prefix -> choose(prefix, 1, ZONE, engines))
                                .distinct())
                .hasSize(engines.size());
    }

    @Test
    void anEndpointWhoseWaitingPromptsOutweighItsCachedPrefixIsAvoided() {
        EndpointId preferred = choose(7, 1, ZONE, engines);
        List<EndpointRow> busy =
                engines.stream()
                        .map(
                                row ->
                                        row.id().equals(preferred)
                                                ? row.requestSent(20_000, 20_000)
                                                : row)
                        .toList();
        assertThat(choose(7, 1, ZONE, busy)).isNotEqualTo(preferred);
    }

    private EndpointId choose(long prefix, long key, Zone zone, List<EndpointRow> candidates) {
        RequestSpec spec =
                new RequestSpec(
                        RequestId.of("request"),
                        RequestKey.of(1_700_000_000_000L, key),
                        true,
                        BudgetId.of("budget"),
                        RouterHarness.CHAT,
                        9_000,
                        100,
                        prefix,
                        0,
                        new RequestTraits(6_000, 0, true));
        return placement.choose(spec, zone, candidates).orElseThrow().id();
    }

    private static EndpointRow engine(int number) {
        Zone zone = number % 2 == 0 ? ZONE : OTHER_ZONE;
        return EndpointRow.of(
                EndpointId.of("engine-" + number), "seilhelfer", zone, Version.of("v1"), 500_000);
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class PrefixPlacementTest {
    private static final Zone HOME = Zone.of("langnau");
    private static final Zone AWAY = Zone.of("huttwil");

    private final Placement placement = Placement.bySharedPrefix();
    private final List<EndpointRow> engines =
            IntStream.range(0, 6).mapToObj(PrefixPlacementTest::engine).toList();

    @Test
    void requestsWithTheSameSharedPartGoToTheSameEndpointFromEveryZone() {
        EndpointId chosen = choose(7, 1, HOME, engines);
        assertThat(LongStream.range(2, 40).mapToObj(key -> choose(7, key, AWAY, engines)))
                .containsOnly(chosen);
    }

    @Test
    void sharedPartsSpreadOverAllEndpoints() {
        assertThat(
                        LongStream.range(0, 200)
                                .mapToObj(prefix -> choose(prefix, 1, HOME, engines))
                                .distinct())
                .hasSize(engines.size());
    }

    @Test
    void anEndpointWithMoreUnreadPromptThanTheSharedPartSavesIsAvoided() {
        EndpointId home = choose(7, 1, HOME, engines);
        List<EndpointRow> busy =
                engines.stream()
                        .map(row -> row.id().equals(home) ? row.sent(20_000, 20_000) : row)
                        .toList();
        assertThat(choose(7, 1, HOME, busy)).isNotEqualTo(home);
    }

    private EndpointId choose(long prefix, long key, Zone zone, List<EndpointRow> candidates) {
        RequestSpec spec =
                new RequestSpec(
                        RequestId.of("request"),
                        RequestKey.of(1_700_000_000_000L, key),
                        true,
                        BudgetId.of("budget"),
                        RouterCase.CHAT,
                        9_000,
                        100,
                        prefix,
                        0,
                        new RequestTraits(6_000, 0, true));
        return placement.choose(spec, zone, candidates).orElseThrow().id();
    }

    private static EndpointRow engine(int number) {
        Zone zone = number % 2 == 0 ? HOME : AWAY;
        return EndpointRow.of(
                EndpointId.of("engine-" + number), "seilhelfer", zone, Version.of("v1"), 500_000);
    }
}

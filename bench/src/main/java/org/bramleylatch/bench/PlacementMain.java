package org.bramleylatch.bench;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.bramleylatch.core.EndpointRow;
import org.bramleylatch.core.Placement;

/** Compares placements at several loads by simulation in virtual time. */
public final class PlacementMain {
    private static final double[] LOAD_FACTORS = {0.5, 0.8, 1.0, 1.3, 3.0};
    private static final double OVERLOAD_REQUESTS_PER_SECOND = 400;
    private static final long SEED = 7;
    private static final double PERCENT = 100;

    private PlacementMain() {}

    /** Simulates every placement at every load; loads are multiples of the measured capacity. */
    public static void main(String[] arguments) {
        double capacity =
                new PlacementSimulation(
                                Placement.leastOutstanding(), OVERLOAD_REQUESTS_PER_SECOND, SEED)
                        .run()
                        .goodputPerSecond();
        System.out.printf(
                "capacity: %.1f whole answers a second, by least outstanding under overload%n",
                capacity);
        System.out.println(
                "load placement          first token p50 p95 p99 ms   cache hits"
                        + "  goodput/s  within memory");
        for (double load : LOAD_FACTORS) {
            placements()
                    .forEach(
                            (name, placement) ->
                                    print(
                                            load,
                                            name,
                                            new PlacementSimulation(
                                                            placement.get(), load * capacity, SEED)
                                                    .run()));
        }
    }

    private static void print(double load, String name, PlacementSimulation.Result result) {
        System.out.printf(
                "%.1f  %-18s %11d %5d %6d %16.1f%% %10.1f  %s%n",
                load,
                name,
                result.p50Millis(),
                result.p95Millis(),
                result.p99Millis(),
                result.cacheHitShare() * PERCENT,
                result.goodputPerSecond(),
                result.isWithinMemory());
    }

    private static Map<String, Supplier<Placement>> placements() {
        Map<String, Supplier<Placement>> all = new LinkedHashMap<>();
        all.put("by affinity", Placement::byAffinity);
        all.put("least outstanding", Placement::leastOutstanding);
        all.put("round robin", PlacementMain::roundRobin);
        all.put("random of two", PlacementMain::randomOfTwo);
        return all;
    }

    private static Placement roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return (spec, zone, candidates) ->
                candidates.isEmpty()
                        ? Optional.empty()
                        : Optional.of(candidates.get(next.getAndIncrement() % candidates.size()));
    }

    private static Placement randomOfTwo() {
        Random random = new Random(SEED);
        return (spec, zone, candidates) ->
                candidates.isEmpty()
                        ? Optional.empty()
                        : random.ints(2, 0, candidates.size())
                                .mapToObj(candidates::get)
                                .min(
                                        Comparator.comparingInt(
                                                (EndpointRow row) -> row.load().outstanding()));
    }
}

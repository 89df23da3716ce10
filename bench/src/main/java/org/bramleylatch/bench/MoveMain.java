package org.bramleylatch.bench;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.bramleylatch.bench.MoveRun.Answer;

/** Measures version moves of seven kinds, 200 seeded runs each, in virtual time. */
public final class MoveMain {
    private static final int RUNS = 200;
    private static final long LATE_MILLIS = 60_000;
    private static final int LOAD_PERMILLE = 200;
    private static final double PERCENT = 100;

    private MoveMain() {}

    /** Runs every kind. */
    public static void main(String[] arguments) {
        System.out.println(
                "kind           runs  right end  bad requests: mean   most"
                        + "  after shown, most per router  ended after");
        Map<String, Kind> kinds = kinds();
        kinds.forEach(MoveMain::run);
    }

    private static Map<String, Kind> kinds() {
        Predicate<MoveRun.Result> done = result -> result.firstDone() && result.secondDone();
        Predicate<MoveRun.Result> back = result -> !result.firstDone() && !result.secondDone();
        Map<String, Kind> kinds = new LinkedHashMap<>();
        kinds.put("good", new Kind((t, route, share, random) -> Answer.usual(random), done));
        kinds.put(
                "good, noisy",
                new Kind((t, route, share, random) -> Answer.failing(0.025, random), done));
        kinds.put(
                "fails at once",
                new Kind((t, route, share, random) -> Answer.failing(0.5, random), back));
        kinds.put(
                "fails late",
                new Kind(
                        (t, route, share, random) ->
                                Answer.failing(t > LATE_MILLIS ? 0.5 : 0.01, random),
                        back));
        kinds.put(
                "under load",
                new Kind(
                        (t, route, share, random) ->
                                Answer.failing(share >= LOAD_PERMILLE ? 0.5 : 0.01, random),
                        back));
        kinds.put("slow", new Kind((t, route, share, random) -> Answer.slow(random), back));
        kinds.put(
                "bad on one",
                new Kind(
                        (t, route, share, random) ->
                                Answer.failing(route == 1 ? 0.5 : 0.01, random),
                        result -> result.firstDone() && !result.secondDone()));
        return kinds;
    }

    private static void run(String name, Kind kind) {
        int right = 0;
        double sum = 0;
        double most = 0;
        long after = 0;
        long millis = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            MoveRun.Result result = new MoveRun(kind.behaviour, seed).run();
            right += kind.rightEnd.test(result) ? 1 : 0;
            sum += result.badShare();
            most = Math.max(most, result.badShare());
            after = Math.max(after, result.worstAfterShown());
            millis += result.millis();
        }
        System.out.printf(
                "%-14s %4d %8.1f%% %17.3f%% %6.3f%% %30d %10d s%n",
                name,
                RUNS,
                right * PERCENT / RUNS,
                sum * PERCENT / RUNS,
                most * PERCENT,
                after,
                millis / RUNS / 1_000);
    }

    private record Kind(MoveRun.Behaviour behaviour, Predicate<MoveRun.Result> rightEnd) {}
}

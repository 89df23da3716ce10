package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Stops a gateway process while callers go on. {@code -Dstop.seeds=1-8 -Dstop.variants=leave,stay}
 * plays other seeds, and of the variants only those that are named.
 */
class StoppingGatewayTest {
    private static final String SEEDS = System.getProperty("stop.seeds", "2");
    private static final List<String> VARIANTS =
            List.of(
                    System.getProperty(
                                    "stop.variants",
                                    "leave,stay,starved-leave,starved-stay,signals,frozen-stay")
                            .split(","));
    private static final int CALLERS = 40;
    private static final int MAX_PAUSE_MILLIS = 60;
    private static final long STARVED_FROM_MILLIS = 700;
    private static final long STOP_MILLIS = 1_200;
    private static final long PERIOD_MILLIS = 100;
    private static final long FROZEN_MILLIS = 75;

    /** Lies between two ticks in which a stopping gateway looks for idle connections. */
    private static final long DRAIN_MILLIS = 2_580;

    private static final long FREEZE_MILLIS = 400;

    static Stream<Stop> stops() {
        String[] range = SEEDS.split("-");
        return LongStream.rangeClosed(
                        Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]))
                .boxed()
                .flatMap(seed -> VARIANTS.stream().map(variant -> new Stop(variant, seed)));
    }

    /** Holds what is different from stop to stop. */
    record Stop(String variant, long seed) {
        SoakCallers.Habits habits() {
            return new SoakCallers.Habits(
                    CALLERS,
                    SoakRequestText::shortRequest,
                    random -> random.nextInt(MAX_PAUSE_MILLIS),
                    number -> variant.endsWith("stay"));
        }

        List<SoakPlan.Step> steps() {
            List<SoakPlan.Step> steps = new ArrayList<>();
            if (variant.startsWith("starved")) {
                LongStream.iterate(
                                STARVED_FROM_MILLIS,
                                at -> at < STOP_MILLIS + SoakProcess.GRACE_MILLIS,
                                at -> at + PERIOD_MILLIS)
                        .forEach(at -> add(steps, at, p -> p.freeze(FROZEN_MILLIS)));
            }
            add(steps, STOP_MILLIS, SoakProcess::retire);
            if (variant.startsWith("frozen")) {
                add(steps, STOP_MILLIS + DRAIN_MILLIS + seed % 10, p -> p.freeze(FREEZE_MILLIS));
            }
            if (variant.equals("signals")) {
                add(steps, STOP_MILLIS + 700, SoakProcess::reload);
                add(steps, STOP_MILLIS + 1_500, SoakProcess::retire);
            }
            steps.sort(Comparator.comparingLong(SoakPlan.Step::atMillis));
            return steps;
        }

        private static void add(
                List<SoakPlan.Step> steps, long atMillis, Consumer<SoakProcess> action) {
            steps.add(new SoakPlan.Step(atMillis, "signal", soak -> action.accept(soak.process())));
        }
    }

    /**
     * Guards against requests that a stopping process leaves without an answer or a close, and
     * against a stop that outlives its grace period.
     */
    @ParameterizedTest
    @MethodSource("stops")
    void everyRequestIsAnsweredOrClosedAtOnceUntilTheProcessIsGone(Stop stop) {
        Path folder =
                Path.of("target", "stop", stop.variant() + "-" + stop.seed()).toAbsolutePath();
        try (Soak soak =
                new Soak(stop.seed(), folder, stop.habits(), SoakEndpoints.Habits.prompt())) {
            Soak.Result result = soak.runUntilEnd(stop.steps());
            System.out.printf(
                    "%s requests=%d served=%d lost=%d maxGap=%d process=%s%n",
                    stop,
                    result.requests(),
                    result.answered(),
                    result.lost().size(),
                    result.maxGapMillis(),
                    result.processes());
            result.lost().forEach(System.out::println);
            assertThat(result.lost()).as("lost, logs in %s", folder).isEmpty();
            assertThat(result.findings()).as("findings, logs in %s", folder).isEmpty();
            assertThat(result.stopsMillis()).as("stops, logs in %s", folder).hasSize(1);
            assertThat(result.answered()).isPositive();
        }
    }
}

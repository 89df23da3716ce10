package org.bramleylatch.proof;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.UnaryOperator;

/** Draws from a seed what happens in a soak: series of steps that overlap. */
final class SoakPlan {
    private static final int ENDPOINTS = 6;
    private static final int DUTY_MILLIS = 100;
    private static final int STARVED_STOP_MILLIS = 2_500;

    private final Random random;
    private final long endMillis;
    private final List<Step> steps = new ArrayList<>();
    private long starvedUntilMillis;

    private SoakPlan(long seed, long endMillis) {
        this.random = new Random(seed);
        this.endMillis = endMillis;
    }

    /** Holds one step: when it is due, what it is, and what it does. */
    record Step(long atMillis, String text, Consumer<Soak> action) {
        @Override
        public String toString() {
            return atMillis + " ms: " + text;
        }
    }

    /**
     * Draws a plan.
     *
     * @param endMillis the time after which nothing happens any more
     * @return the steps in the order of their times
     */
    static List<Step> draw(long seed, long endMillis) {
        SoakPlan plan = new SoakPlan(seed, endMillis);
        plan.addConfigurations();
        plan.addSeries(1_000, 200, 2_000, plan::addReload);
        plan.addSeries(2_000, 1_500, 4_000, plan::addProcessTrouble);
        plan.addSeries(500, 200, 1_200, plan::addEndpointTrouble);
        plan.addStops(endMillis / 2);
        plan.addSeries(3_000, 3_000, 8_000, plan::addStoreReturn);
        plan.steps.sort(Comparator.comparingLong(Step::atMillis));
        return List.copyOf(plan.steps);
    }

    /** Returns a plan that stops the process once, halfway. */
    static List<Step> withOneStop(long endMillis) {
        return List.of(new Step(endMillis / 2, "planned stop", Soak::stopProcess));
    }

    private void addConfigurations() {
        SoakConfig[] latest = {SoakConfig.first()};
        addSeries(
                500,
                50,
                600,
                atMillis -> {
                    SoakConfig next = latest[0].changed(random);
                    latest[0] = next;
                    add(
                            atMillis,
                            "configuration " + next.version() + " " + next.values(),
                            soak -> soak.configure(next));
                });
    }

    private void addSeries(long firstMillis, int minGap, int maxGap, LongConsumer addStep) {
        long atMillis = firstMillis;
        while (atMillis < endMillis) {
            addStep.accept(atMillis);
            atMillis += minGap + random.nextInt(maxGap - minGap);
        }
    }

    private void addStoreReturn(long atMillis) {
        int lostMillis = 300 + random.nextInt(2_700);
        add(atMillis - lostMillis, "the store is copied", Soak::copyStore);
        add(
                atMillis,
                "the store comes back from the copy of " + lostMillis + " ms before",
                Soak::restoreStore);
    }

    private void addReload(long atMillis) {
        add(atMillis, "SIGHUP", soak -> soak.process().reload());
    }

    private void addProcessTrouble(long atMillis) {
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> addStops(atMillis);
            case 3 -> add(atMillis, "SIGKILL", Soak::killProcess);
            case 4 -> addStarvation(atMillis);
            default ->
                    addFreeze(atMillis, 200 + random.nextInt(random.nextBoolean() ? 400 : 2_800));
        }
    }

    /** Adds a stop, and what meets it or the process that follows: signals, stops, starvation. */
    private void addStops(long atMillis) {
        add(atMillis, "planned stop", Soak::stopProcess);
        for (int count = random.nextInt(4); count > 0; count--) {
            long laterMillis = atMillis + random.nextInt((int) SoakProcess.GRACE_MILLIS);
            switch (random.nextInt(4)) {
                case 0 -> addReload(laterMillis);
                case 1 -> addStarvation(atMillis + random.nextInt(STARVED_STOP_MILLIS));
                default -> add(laterMillis, "planned stop", Soak::stopProcess);
            }
        }
    }

    private void addFreeze(long atMillis, int millis) {
        add(atMillis, "freeze of " + millis + " ms", soak -> soak.process().freeze(millis));
    }

    /** Lets the process run for a part of the time only, once at a time. */
    private void addStarvation(long firstMillis) {
        long atMillis = Math.max(firstMillis, starvedUntilMillis);
        int frozenMillis = DUTY_MILLIS * (4 + random.nextInt(5)) / 10;
        int count = 10 + random.nextInt(20);
        for (int index = 0; index < count; index++) {
            addFreeze(atMillis + (long) index * DUTY_MILLIS, frozenMillis);
        }
        starvedUntilMillis = atMillis + (long) count * DUTY_MILLIS;
    }

    private void addEndpointTrouble(long atMillis) {
        int endpoint = random.nextInt(ENDPOINTS);
        switch (random.nextInt(4)) {
            case 0 -> {
                int millis = 300 + random.nextInt(2_200);
                change(
                        atMillis,
                        endpoint,
                        "is silent for " + millis + " ms",
                        row -> row.silentUntil(atMillis + millis));
            }
            case 1 -> addAbsence(atMillis, endpoint, SoakEndpoint.GONE);
            case 2 -> addAbsence(atMillis, endpoint, SoakEndpoint.DRAINING);
            default -> {
                String service = endpoint < ENDPOINTS / 2 ? "app" : "llm";
                change(atMillis, endpoint, "returns as " + service, r -> r.replacedBy(service));
                String usual = service.equals("app") ? "llm" : "app";
                change(
                        atMillis + 300 + random.nextInt(1_500),
                        endpoint,
                        "returns as " + usual,
                        row -> row.replacedBy(usual));
            }
        }
    }

    private void addAbsence(long atMillis, int endpoint, String state) {
        change(atMillis, endpoint, "is " + state, row -> row.withState(state));
        change(
                atMillis + 300 + random.nextInt(1_500),
                endpoint,
                "is ready",
                row -> row.withState(SoakEndpoint.READY));
    }

    private void change(
            long atMillis, int endpoint, String text, UnaryOperator<SoakEndpoint> change) {
        add(
                atMillis,
                "endpoint " + endpoint + " " + text,
                soak -> soak.changeEndpoint(endpoint, change));
    }

    private void add(long atMillis, String text, Consumer<Soak> action) {
        steps.add(new Step(atMillis, text, action));
    }
}

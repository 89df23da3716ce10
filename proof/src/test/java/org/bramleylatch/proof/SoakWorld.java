package org.bramleylatch.proof;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.bramleylatch.core.Table;

/** Holds the tables of a soak; only the event loop that runs its systems may use them. */
final class SoakWorld {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Longer than the freezes that let a process run for a part of the time. */
    private static final long WHOLE_FREEZE_MILLIS = 150;

    private final Vertx vertx;
    private final long seed;
    private long startNanos = System.nanoTime();
    private final Table<String, SoakRequest> requests = Table.empty();
    private final Table<Integer, SoakRun> runs = Table.empty();
    private final Table<Integer, SoakCaller> callers = Table.empty();
    private final Table<Integer, SoakEndpoint> endpoints = Table.empty();
    private final Table<Integer, SoakProcessRow> processes = Table.empty();
    private final List<Freeze> freezes = new ArrayList<>();
    private final List<Published> configurations = new ArrayList<>();
    private final List<String> findings = new ArrayList<>();
    private String step = "start";

    SoakWorld(Vertx vertx, long seed) {
        this.vertx = vertx;
        this.seed = seed;
    }

    /** Holds a time in which the gateway process did not run. */
    record Freeze(long fromMillis, long toMillis) {
        /** Returns how much of the time between two moments the process did not run. */
        long overlapMillis(long startMillis, long endMillis) {
            return Math.max(0, Math.min(toMillis, endMillis) - Math.max(fromMillis, startMillis));
        }
    }

    /** Holds a configuration and when it was published. */
    record Published(long atMillis, SoakConfig config) {}

    Vertx vertx() {
        return vertx;
    }

    long seed() {
        return seed;
    }

    /** Starts the clock again, at the moment from which a plan counts its times. */
    void restartClock() {
        startNanos = System.nanoTime();
    }

    /** Returns the milliseconds since the start. */
    long nowMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    Table<String, SoakRequest> requests() {
        return requests;
    }

    Table<Integer, SoakRun> runs() {
        return runs;
    }

    void putRun(SoakRun run) {
        runs.put(run.number(), run);
    }

    /** Returns the runs of a request in the order in which they began. */
    List<SoakRun> runsOf(String requestId) {
        return runs.rows()
                .filter(run -> run.requestId().equals(requestId))
                .sorted(Comparator.comparingInt(SoakRun::number))
                .toList();
    }

    /** Returns how many runs came over a connection that had carried their request before. */
    long repeatedIds() {
        return runs.size()
                - runs.rows().map(run -> List.of(run.socket(), run.requestId())).distinct().count();
    }

    Table<Integer, SoakCaller> callers() {
        return callers;
    }

    Table<Integer, SoakEndpoint> endpoints() {
        return endpoints;
    }

    Table<Integer, SoakProcessRow> processes() {
        return processes;
    }

    List<Freeze> freezes() {
        return freezes;
    }

    long frozenMillis(long startMillis, long endMillis) {
        return freezes.stream().mapToLong(f -> f.overlapMillis(startMillis, endMillis)).sum();
    }

    /** Returns the time of those freezes that are more than starvation. */
    long wholeFreezeMillis(long startMillis, long endMillis) {
        return freezes.stream()
                .filter(f -> f.toMillis() - f.fromMillis() > WHOLE_FREEZE_MILLIS)
                .mapToLong(f -> f.overlapMillis(startMillis, endMillis))
                .sum();
    }

    List<Published> configurations() {
        return configurations;
    }

    /** Notes the step that the plan has reached, which findings name. */
    void setStep(String newStep) {
        step = newStep;
    }

    void report(String title, String detail) {
        findings.add(
                "%s: seed=%d atMillis=%d after step [%s] %s"
                        .formatted(title, seed, nowMillis(), step, detail));
    }

    /** Adds a finding about one request, which names its times. */
    void add(String finding) {
        findings.add("seed=" + seed + " " + finding);
    }

    List<String> findings() {
        return List.copyOf(findings);
    }
}

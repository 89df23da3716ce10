package org.bramleylatch.bench;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Prints the processor time that each thread of a process took in a span of time. */
final class ThreadCosts {
    private static final double MILLIS_PER_TICK = 10;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double SHOWN_MILLIS = 20;

    /** Fields of the kernel's stat file, counted after the name of the thread. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;

    private final Path threads;
    private final Map<Path, ThreadTime> earlier = new HashMap<>();

    private ThreadCosts(Path threads) {
        this.threads = threads;
    }

    /** Returns the costs of a process; the first span begins with the process. */
    static ThreadCosts of(long pid) {
        return new ThreadCosts(Path.of("/proc/" + pid + "/task"));
    }

    /** Prints what was taken since the last span, in milliseconds a second and by thread. */
    void printSpan(String name, double seconds) throws IOException {
        Map<Path, ThreadTime> now = readTimes();
        Map<String, Double> byName = new TreeMap<>();
        now.forEach(
                (thread, time) ->
                        byName.merge(
                                time.name(),
                                time.millis() - earlier(thread).millis(),
                                Double::sum));
        double system =
                now.entrySet().stream()
                        .mapToDouble(
                                entry ->
                                        entry.getValue().systemMillis()
                                                - earlier(entry.getKey()).systemMillis())
                        .sum();
        double total = byName.values().stream().mapToDouble(Double::doubleValue).sum();
        String shown =
                byName.entrySet().stream()
                        .filter(entry -> entry.getValue() >= SHOWN_MILLIS)
                        .map(entry -> String.format("%s=%.0fms", entry.getKey(), entry.getValue()))
                        .collect(Collectors.joining(" "));
        earlier.putAll(now);
        System.out.printf(
                "%-20s %.2f s (%.2f s in the kernel), %.0f ms a second: %s%n",
                name,
                total / MILLIS_PER_SECOND,
                system / MILLIS_PER_SECOND,
                total / seconds,
                shown);
    }

    private ThreadTime earlier(Path thread) {
        return earlier.getOrDefault(thread, new ThreadTime("", 0, 0));
    }

    private Map<Path, ThreadTime> readTimes() throws IOException {
        Map<Path, ThreadTime> times = new HashMap<>();
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(threads)) {
            for (Path thread : entries) {
                readThread(thread).ifPresent(time -> times.put(thread, time));
            }
        }
        return times;
    }

    /** Returns the time of a thread; empty if it ended meanwhile. */
    private static Optional<ThreadTime> readThread(Path thread) throws IOException {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            int nameEnd = stat.lastIndexOf(')');
            String[] fields = stat.substring(nameEnd + 2).split(" ");
            double userMillis = Long.parseLong(fields[USER_TICKS_FIELD]) * MILLIS_PER_TICK;
            double systemMillis = Long.parseLong(fields[SYSTEM_TICKS_FIELD]) * MILLIS_PER_TICK;
            return Optional.of(
                    new ThreadTime(
                            stat.substring(stat.indexOf('(') + 1, nameEnd),
                            userMillis + systemMillis,
                            systemMillis));
        } catch (NoSuchFileException ended) {
            return Optional.empty();
        }
    }

    private record ThreadTime(String name, double millis, double systemMillis) {}
}

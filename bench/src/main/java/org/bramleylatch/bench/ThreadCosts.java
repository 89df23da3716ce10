package org.bramleylatch.bench;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Prints the processor time that each thread of a process took in a span of time. */
final class ThreadCosts {
    private static final double MILLIS_PER_TICK = 10;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double SHOWN_MILLIS = 20;

    /** Fields of the kernel's stat file, counted after the name of the thread. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;

    private final Path threads;
    private Map<String, Double> earlierMillis = Map.of();

    private ThreadCosts(Path threads) {
        this.threads = threads;
    }

    /** Returns the costs of a process; the first span begins with the process. */
    static ThreadCosts of(long pid) {
        return new ThreadCosts(Path.of("/proc/" + pid + "/task"));
    }

    /** Prints what was taken since the last span, in milliseconds a second and by thread. */
    void printSpan(String name, double seconds) throws IOException {
        Map<String, Double> nowMillis = readMillis();
        double total = 0;
        StringBuilder byThread = new StringBuilder();
        for (Map.Entry<String, Double> entry : nowMillis.entrySet()) {
            double millis = entry.getValue() - earlierMillis.getOrDefault(entry.getKey(), 0.0);
            total += millis;
            if (millis >= SHOWN_MILLIS) {
                byThread.append(String.format(" %s=%.0fms", entry.getKey(), millis));
            }
        }
        earlierMillis = nowMillis;
        System.out.printf(
                "%-20s %.2f s, %.0f ms a second:%s%n",
                name, total / MILLIS_PER_SECOND, total / seconds, byThread);
    }

    private Map<String, Double> readMillis() throws IOException {
        Map<String, Double> millis = new TreeMap<>();
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(threads)) {
            for (Path thread : entries) {
                readThread(thread)
                        .ifPresent(time -> millis.merge(time.name(), time.millis(), Double::sum));
            }
        }
        return millis;
    }

    /** Returns the time of a thread; empty if it ended meanwhile. */
    private static Optional<ThreadTime> readThread(Path thread) throws IOException {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            int nameEnd = stat.lastIndexOf(')');
            String[] fields = stat.substring(nameEnd + 2).split(" ");
            long ticks =
                    Long.parseLong(fields[USER_TICKS_FIELD])
                            + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
            return Optional.of(
                    new ThreadTime(
                            stat.substring(stat.indexOf('(') + 1, nameEnd),
                            ticks * MILLIS_PER_TICK));
        } catch (NoSuchFileException ended) {
            return Optional.empty();
        }
    }

    private record ThreadTime(String name, double millis) {}
}

package org.bramleylatch.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.TimelineLine;

/** Merges the time line files of many processes in causal order. */
final class Timelines {

    private Timelines() {}

    /** Prints the merged rows, or writes them as a page; missing and cut files are told of. */
    static void run(CtlOptions options, List<String> files) {
        List<TimelineLine> lines =
                files.stream()
                        .flatMap(Timelines::read)
                        .filter(line -> Json.write(line).contains(options.filter))
                        .sorted(Comparator.comparingLong(TimelineLine::order))
                        .toList();
        if (options.html.isEmpty()) {
            lines.forEach(line -> System.out.println(format(line)));
        } else {
            write(options.html, TimelinePage.of(lines));
        }
    }

    private static Stream<TimelineLine> read(String file) {
        try {
            return Files.readAllLines(Path.of(file)).stream()
                    .flatMap(text -> parse(file, text).stream());
        } catch (IOException unreadable) {
            System.err.println("missing: " + file);
            return Stream.empty();
        }
    }

    private static Optional<TimelineLine> parse(String file, String text) {
        try {
            return Optional.of(Json.read(text, TimelineLine.class));
        } catch (ResultException cut) {
            System.err.println("cut line in " + file);
            return Optional.empty();
        }
    }

    private static String format(TimelineLine line) {
        return String.format(
                "%tT.%<tL %-8s %-10s %-22s %s %s",
                line.millis(),
                line.process(),
                line.zone(),
                line.event().kind(),
                line.event().subject(),
                line.event().detail());
    }

    private static void write(String file, String page) {
        try {
            Files.writeString(Path.of(file), page);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }
}

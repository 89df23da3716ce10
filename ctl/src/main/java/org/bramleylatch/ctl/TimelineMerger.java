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

/** Merges the timeline files of several processes in causal order. */
final class TimelineMerger {

    private TimelineMerger() {}

    /**
     * Prints the merged lines, or writes them to an HTML page. Unreadable files and incomplete
     * lines are reported on standard error and skipped.
     */
    static void run(CtlOptions options, List<String> files) {
        List<TimelineLine> lines =
                files.stream()
                        .flatMap(TimelineMerger::read)
                        .filter(line -> Json.write(line).contains(options.filterText))
                        .sorted(Comparator.comparingLong(TimelineLine::order))
                        .toList();
        if (options.htmlFile.isEmpty()) {
            lines.forEach(line -> System.out.println(format(line)));
        } else {
            write(options.htmlFile, TimelinePage.render(lines));
        }
    }

    private static Stream<TimelineLine> read(String file) {
        try {
            return Files.readAllLines(Path.of(file)).stream()
                    .flatMap(text -> parse(file, text).stream());
        } catch (IOException unreadable) {
            System.err.println("cannot read timeline file " + file);
            return Stream.empty();
        }
    }

    private static Optional<TimelineLine> parse(String file, String text) {
        try {
            return Optional.of(Json.read(text, TimelineLine.class));
        } catch (ResultException malformed) {
            System.err.println("skipped an incomplete or malformed line in " + file);
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

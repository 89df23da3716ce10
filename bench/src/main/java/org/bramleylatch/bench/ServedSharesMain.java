package org.bramleylatch.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Prints from the event logs of a play what share of the requests was served, for all requests and
 * for the least served workspaces and VMs.
 */
public final class ServedSharesMain {
    private static final int MAX_ROWS = 10;

    private ServedSharesMain() {}

    /** Prints the shares; the argument is a file with the lines of all VMs. */
    public static void main(String[] arguments) throws IOException {
        ServedShares shares;
        // Unlike UTF-8, this decodes lines that were cut within a character.
        try (Stream<String> lines =
                Files.lines(Path.of(arguments[0]), StandardCharsets.ISO_8859_1)) {
            shares = ServedShares.read(lines);
        }
        ServedShareRow all = shares.all();
        System.out.printf(
                "served %.2f: %d of %d requests, %d of them known only from the sequence in ids%n",
                all.share(), all.finished(), all.arrivals(), shares.unloggedArrivals());
        print("workspaces", shares.workspaces());
        print("VMs", shares.vms());
        System.out.println("refusals");
        shares.refusals().entrySet().stream()
                .sorted((one, other) -> other.getValue().compareTo(one.getValue()))
                .forEach(entry -> System.out.printf("%7d  %s%n", entry.getValue(), entry.getKey()));
    }

    private static void print(String title, List<ServedShareRow> rows) {
        System.out.printf("least served %s: share, finished, arrivals, VMs%n", title);
        rows.stream()
                .limit(MAX_ROWS)
                .forEach(
                        row ->
                                System.out.printf(
                                        "%7.2f %7d %7d %5d  %s%n",
                                        row.share(),
                                        row.finished(),
                                        row.arrivals(),
                                        row.vms(),
                                        row.name()));
    }
}

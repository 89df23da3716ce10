package org.bramleylatch.bench;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Sends an open-loop load of chats to a router or an engine and reports on it as JSON. */
public final class LoadMain {
    private static final int USAGE_EXIT_CODE = 2;

    private LoadMain() {}

    /** Runs one load and prints its report; exits with 2 if the options are invalid. */
    public static void main(String[] arguments) throws IOException {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException invalid) {
            System.err.println(invalid.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_EXIT_CODE);
        }
        LoadPlan plan =
                new LoadPlan(
                        options.perSecond,
                        options.seconds,
                        options.promptLines,
                        options.maxAnswerTokens,
                        options.seed);
        Address target = new Address(options.ip, options.port);
        String report = Json.write(new LoadRun(Vertx.vertx(), target, options.key, plan).run());
        System.out.println(report);
        if (!options.json.isEmpty()) {
            Files.writeString(Path.of(options.json), report);
        }
        System.exit(0);
    }

    private static final class Options {
        @Option(name = "--ip", usage = "IP address of the router or engine")
        private String ip = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "port of the router or engine")
        private int port;

        @Option(name = "--key", usage = "key of the member that pays")
        private String key = "";

        @Option(name = "--per-second", usage = "mean number of chats sent per second")
        private double perSecond = 10;

        @Option(name = "--seconds", usage = "duration of the load in seconds")
        private int seconds = 10;

        @Option(
                name = "--prompt-lines",
                usage = "length of a prompt in lines, each the same sentence")
        private int promptLines = 10;

        @Option(name = "--most-tokens", usage = "maximum length of an answer in tokens")
        private int maxAnswerTokens = 100;

        @Option(name = "--seed", usage = "seed of the arrival times")
        private long seed = 1;

        @Option(name = "--json", usage = "file to which the report is also written")
        private String json = "";
    }
}

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

/** Runs the load tool: open-loop chats against a router or an engine, with a JSON report. */
public final class LoadMain {
    private static final int USAGE_EXIT_CODE = 2;

    private LoadMain() {}

    /** Runs one load and prints its report. */
    public static void main(String[] arguments) throws IOException {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException wrong) {
            System.err.println(wrong.getMessage());
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
        Address to = new Address(options.ip, options.port);
        String report = Json.write(new LoadRun(Vertx.vertx(), to, options.key, plan).run());
        System.out.println(report);
        if (!options.json.isEmpty()) {
            Files.writeString(Path.of(options.json), report);
        }
        System.exit(0);
    }

    private static final class Options {
        @Option(name = "--ip", usage = "where the router or engine listens")
        private String ip = "127.0.0.1";

        @Option(name = "--port", required = true, usage = "where the router or engine listens")
        private int port;

        @Option(name = "--key", usage = "the member's key")
        private String key = "";

        @Option(name = "--per-second", usage = "arrivals a second")
        private double perSecond = 10;

        @Option(name = "--seconds", usage = "how long chats arrive")
        private int seconds = 10;

        @Option(name = "--prompt-lines", usage = "the length of a prompt")
        private int promptLines = 10;

        @Option(name = "--most-tokens", usage = "the longest answer")
        private int maxAnswerTokens = 100;

        @Option(name = "--seed", usage = "fixes the times of arrival")
        private long seed = 1;

        @Option(name = "--json", usage = "write the report to this file")
        private String json = "";
    }
}

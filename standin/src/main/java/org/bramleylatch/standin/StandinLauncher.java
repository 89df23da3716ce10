package org.bramleylatch.standin;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Starts a simulated server from its command line. */
final class StandinLauncher {
    private static final int EXIT_USAGE_ERROR = 2;
    private static final int EXIT_FAILED = 1;

    private StandinLauncher() {}

    /**
     * Parses the arguments into the options and starts the server. Ends the process with exit code
     * 2 if the command line is wrong, and with 1 if the start fails.
     *
     * @param starter starts the server; the failure of its future is printed
     */
    static <T> void run(String[] arguments, T options, Function<T, CompletableFuture<?>> starter) {
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
            starter.apply(options).join();
        } catch (CmdLineException wrong) {
            System.err.println(wrong.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE_ERROR);
        } catch (RuntimeException failure) {
            System.err.println(failure.getCause() == null ? failure : failure.getCause());
            System.exit(EXIT_FAILED);
        }
    }
}

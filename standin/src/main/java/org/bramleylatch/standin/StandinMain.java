package org.bramleylatch.standin;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Starts a stand-in from its command line. */
final class StandinMain {
    private static final int USAGE = 2;
    private static final int FAILED = 1;

    private StandinMain() {}

    /**
     * Parses the arguments into the options and starts; ends the process with 1 or 2 on failure.
     *
     * @param starter starts the stand-in; the future's failure is printed
     */
    static <T> void run(String[] arguments, T options, Function<T, CompletableFuture<?>> starter) {
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
            starter.apply(options).join();
        } catch (CmdLineException wrong) {
            System.err.println(wrong.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE);
        } catch (RuntimeException failure) {
            System.err.println(failure.getCause() == null ? failure : failure.getCause());
            System.exit(FAILED);
        }
    }
}

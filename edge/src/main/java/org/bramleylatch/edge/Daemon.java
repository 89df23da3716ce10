package org.bramleylatch.edge;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.wire.Settings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts a daemon from its command line and stops it on SIGTERM. Exit codes: 143 after a planned
 * stop, 0 after --help or --version, 1 if it could not start, 2 if the command line is invalid.
 */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");
    private static final int EXIT_OK = 0;
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_WRONG_USAGE = 2;

    private final String name;
    private final Function<Settings, CompletableFuture<Running>> starter;

    /**
     * Creates a daemon that is not started yet.
     *
     * @param name the name of the binary, for messages
     * @param starter starts the daemon; its future fails with a {@link ResultException} if it
     *     cannot start
     */
    public Daemon(String name, Function<Settings, CompletableFuture<Running>> starter) {
        this.name = name;
        this.starter = starter;
    }

    /**
     * Starts the daemon, which then runs until SIGTERM. Ends the process if the daemon cannot start
     * or if only the help or the version is asked for.
     */
    public void main(String[] arguments) {
        int exitCode = run(arguments);
        if (exitCode != EXIT_OK) {
            ProcessExit.now(exitCode);
        }
    }

    private int run(String[] arguments) {
        Arguments parsedArguments = new Arguments();
        CmdLineParser parser = new CmdLineParser(parsedArguments);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException wrongUsage) {
            System.err.println(name + ": " + wrongUsage.getMessage());
            return printUsage(parser, System.err, EXIT_WRONG_USAGE);
        }
        if (parsedArguments.helpRequested) {
            printUsage(parser, System.out, EXIT_OK);
            return exitSuccessfully();
        }
        if (parsedArguments.versionRequested) {
            System.out.println(name + " " + Build.version());
            return exitSuccessfully();
        }
        return start(parsedArguments);
    }

    private int start(Arguments parsedArguments) {
        if (parsedArguments.settingsFile == null) {
            System.err.println(name + ": option --settings FILE is required");
            return EXIT_WRONG_USAGE;
        }
        try {
            Settings settings =
                    Settings.parse(
                            parsedArguments.settingsFile, readFile(parsedArguments.settingsFile));
            CompletableFuture<Running> starting = new CompletableFuture<>();
            CompletableFuture<Void> stopAsked = new CompletableFuture<>();
            STOP_SIGNALS.forEach(signal -> Signals.on(signal, () -> stopAsked.complete(null)));
            starting.thenCombine(stopAsked, (running, asked) -> running)
                    .thenCompose(Running::stop)
                    .whenComplete((stopped, failure) -> exit(Optional.ofNullable(failure)));
            starting.complete(starter.apply(settings).join());
            LOG.info("{} listens on {}", name, settings.listen());
            return EXIT_OK;
        } catch (RuntimeException failure) {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            System.err.println(name + ": " + cause.getMessage());
            return EXIT_START_FAILED;
        }
    }

    private void exit(Optional<Throwable> failure) {
        failure.ifPresentOrElse(
                cause -> LOG.error("{} could not stop in order", name, cause),
                () -> LOG.info("{} stopped", name));
        ProcessExit.now(ProcessExit.STOPPED_BY_SIGNAL);
    }

    private int printUsage(CmdLineParser parser, PrintStream out, int exitCode) {
        out.println("usage: " + name + " --settings FILE");
        parser.printUsage(out);
        return exitCode;
    }

    private static int exitSuccessfully() {
        System.exit(0);
        return EXIT_OK;
    }

    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException readFailure) {
            String detail =
                    "cannot read settings file " + file + "; check that it exists and is readable";
            throw ResultException.of(ResultCode.SETTINGS_INVALID, detail);
        }
    }

    /** Stops a started daemon. */
    @FunctionalInterface
    public interface Running {

        /**
         * Begins a planned stop; the future completes once the process may exit without losing
         * work.
         */
        CompletableFuture<Void> stop();
    }

    /** Holds the parsed command line. */
    private static final class Arguments {
        @Option(name = "--settings", metaVar = "FILE", usage = "the settings, in JSON")
        private String settingsFile;

        @Option(name = "--help", aliases = "-h", help = true, usage = "print this and exit")
        private boolean helpRequested;

        @Option(name = "--version", help = true, usage = "print the version and exit")
        private boolean versionRequested;
    }
}

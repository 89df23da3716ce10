package org.bramleylatch.edge;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
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
 * Starts a daemon from its command line and stops it on SIGTERM. Exit codes: 0 after a planned
 * stop, 1 if it could not start, 2 if the command line is wrong.
 */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final int STARTED = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private final String name;
    private final Function<Settings, CompletableFuture<Running>> starter;

    /**
     * Describes a daemon.
     *
     * @param name the binary
     * @param starter starts it; the future fails with a result code if that can't be done
     */
    public Daemon(String name, Function<Settings, CompletableFuture<Running>> starter) {
        this.name = name;
        this.starter = starter;
    }

    /** Runs the daemon until it is told to stop and ends the process. */
    public void main(String[] arguments) {
        int code = run(arguments);
        if (code != STARTED) {
            System.exit(code);
        }
    }

    private int run(String[] arguments) {
        Arguments parsed = new Arguments();
        CmdLineParser parser = new CmdLineParser(parsed);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException wrong) {
            System.err.println(name + ": " + wrong.getMessage());
            return usage(parser, System.err, USAGE);
        }
        if (parsed.help) {
            usage(parser, System.out, STARTED);
            return exitNow();
        }
        if (parsed.version) {
            System.out.println(name + " " + Build.version());
            return exitNow();
        }
        return start(parsed);
    }

    private int start(Arguments parsed) {
        if (parsed.settings == null) {
            System.err.println(name + ": --settings FILE is missing");
            return USAGE;
        }
        try {
            Settings settings = Settings.parse(parsed.settings, read(parsed.settings));
            Running running = starter.apply(settings).join();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running)));
            LOG.info("{} listens on {}", name, settings.listen());
            return STARTED;
        } catch (RuntimeException failure) {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            System.err.println(name + ": " + cause.getMessage());
            return FAILED;
        }
    }

    private void stop(Running running) {
        CountDownLatch done = new CountDownLatch(1);
        running.stop().whenComplete((nothing, failure) -> done.countDown());
        try {
            done.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        LOG.info("{} stopped", name);
    }

    private int usage(CmdLineParser parser, PrintStream out, int code) {
        out.println("usage: " + name + " --settings FILE");
        parser.printUsage(out);
        return code;
    }

    private static int exitNow() {
        System.exit(0);
        return STARTED;
    }

    private static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException unreadable) {
            String detail = "cannot read " + file + ": name a file that exists";
            throw ResultException.of(ResultCode.SETTINGS_INVALID, detail);
        }
    }

    /** Is a daemon that has started. */
    @FunctionalInterface
    public interface Running {

        /** Begins a planned stop; the future ends once nothing is cut short by the exit. */
        CompletableFuture<Void> stop();
    }

    /** Holds the command line. */
    private static final class Arguments {
        @Option(name = "--settings", metaVar = "FILE", usage = "the settings, in JSON")
        private String settings;

        @Option(name = "--help", aliases = "-h", help = true, usage = "print this and exit")
        private boolean help;

        @Option(name = "--version", help = true, usage = "print the version and exit")
        private boolean version;
    }
}

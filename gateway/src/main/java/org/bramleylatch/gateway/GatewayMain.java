package org.bramleylatch.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.Build;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.edge.ProcessExit;
import org.bramleylatch.edge.Signals;
import org.bramleylatch.platform.BootFile;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Parses the command line and starts a gateway. */
public final class GatewayMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE_ERROR = 2;
    private static final String NAME = "bramleylatch-gateway";
    private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

    @Option(name = "--settings", metaVar = "FILE", usage = "the gateway's settings, in JSON")
    private String settings = "deploy/gateway.json";

    @Option(name = "--boot", metaVar = "FILE", usage = "the platform's boot file")
    private String boot = BootFile.path();

    @Option(name = "--rehearse", usage = "serve a few requests on loopback and exit")
    private boolean rehearse;

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this and exit")
    private boolean help;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    private boolean version;

    private GatewayMain() {}

    /** Starts the gateway, which runs until the process is stopped by a signal. */
    public static void main(String[] arguments) {
        GatewayMain main = new GatewayMain();
        try {
            // Loading the parser takes time, and a restart after a power loss has no arguments.
            if (arguments.length == 0) {
                main.start();
            } else {
                main.parse(arguments);
            }
        } catch (ResultException | CompletionException failure) {
            System.err.println(NAME + ": " + failure.getMessage());
            ProcessExit.now(EXIT_FAILED);
        }
    }

    private void parse(String[] arguments) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
            run(parser);
        } catch (CmdLineException wrong) {
            System.err.println(NAME + ": " + wrong.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE_ERROR);
        }
    }

    private void run(CmdLineParser parser) {
        if (help) {
            System.out.println("usage: " + NAME + " [--settings FILE] [--boot FILE]");
            parser.printUsage(System.out);
        } else if (version) {
            System.out.println(NAME + " " + Build.version());
        } else if (rehearse) {
            rehearse();
        } else {
            start();
        }
    }

    private void rehearse() {
        try {
            Rehearsal.run(GatewaySettings.read(settings));
            System.exit(0);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException noFreePort) {
            throw new UncheckedIOException(noFreePort);
        }
    }

    /**
     * Installs the handler of SIGHUP first, as the signal ends a process that has none, and the
     * ones of the signals that stop the process before anything of it can be reached.
     */
    private void start() {
        MonotonicClock clock = MonotonicClock.system();
        CompletableFuture<GatewayDaemon> starting = new CompletableFuture<>();
        Signals.on("HUP", () -> starting.thenAccept(GatewayDaemon::recordBootFileChange));
        BootFile bootFile = BootFile.read(boot);
        GatewaySettings gatewaySettings = GatewaySettings.read(settings);
        STOP_SIGNALS.forEach(name -> Signals.on(name, () -> stopOnceStarted(starting, clock)));
        starting.thenCompose(GatewayDaemon::whenStopped)
                .thenRun(() -> ProcessExit.now(ProcessExit.STOPPED_BY_SIGNAL));
        starting.thenCompose(GatewayDaemon::whenFailed).thenRun(GatewayMain::exitOnFailure);
        GatewayDaemon.start(clock, bootFile, gatewaySettings)
                .thenAccept(starting::complete)
                .exceptionally(
                        failure -> {
                            starting.completeExceptionally(failure);
                            return null;
                        });
        starting.join();
    }

    /** Stops a daemon that may still start; {@link #main} reports why one did not start. */
    private static void stopOnceStarted(
            CompletableFuture<GatewayDaemon> starting, MonotonicClock clock) {
        long askedMillis = clock.millis();
        starting.thenAccept(daemon -> daemon.stop(askedMillis));
    }

    private static void exitOnFailure() {
        System.err.println(NAME + ": the event loop has ended");
        ProcessExit.now(EXIT_FAILED);
    }
}

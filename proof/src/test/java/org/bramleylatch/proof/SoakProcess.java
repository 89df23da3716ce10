package org.bramleylatch.proof;

import io.vertx.core.Context;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.bramleylatch.bench.FreePorts;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.gateway.GatewayMain;
import org.bramleylatch.wire.Address;

/** Runs one gateway process at a time, with the options of the deploy command, and signals it. */
final class SoakProcess {
    /** The time after which the platform ends a process that it asked to stop. */
    static final long GRACE_MILLIS = 8_000;

    static final String BOOT_FILE = "boot.json";
    static final String SETTINGS_FILE = "gateway.json";

    private static final Pattern RUN_COMMAND = Pattern.compile("run = \"java (.*?) -cp ");
    private static final Pattern ORPHANS =
            Pattern.compile("(?m)^bramleylatch_gateway_orphans_total (\\S+)");
    private static final Pattern STOP_STEPS = Pattern.compile("STOP_STEP.*step=(\\w+)");
    private static final Duration METRICS_TIMEOUT = Duration.ofMillis(500);
    private static final String ZERO = "0.0";

    private final SoakWorld world;
    private final Context context;
    private final Path folder;
    private final Address store;
    private int callerPort;
    private int readinessPort;
    private int internalPort;
    private final ExecutorService signals = Executors.newSingleThreadExecutor();
    private final HttpClient http = HttpClient.newHttpClient();
    private int number;
    private int openFreezes;
    private long frozenFromMillis;
    private boolean closed;

    SoakProcess(SoakWorld world, Path folder, Address store) {
        this.world = world;
        this.context = world.vertx().getOrCreateContext();
        this.folder = folder;
        this.store = store;
        pickPorts();
        write(
                SETTINGS_FILE,
                read(Path.of("../deploy/gateway.json"))
                        .replaceFirst("(logLinesPerSecond\": )\\d+", "$110000"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private void pickPorts() {
        callerPort = FreePorts.pick(SoakEndpoints.LOOPBACK);
        readinessPort = FreePorts.pick(SoakEndpoints.LOOPBACK);
        internalPort = FreePorts.pick(SoakEndpoints.LOOPBACK);
        write(BOOT_FILE, bootJson());
    }

    int callerPort() {
        return callerPort;
    }

    /** Returns the number of the process that was started last. */
    int number() {
        return number;
    }

    void start() {
        if (closed) {
            return;
        }
        number++;
        openFreezes = 0;
        Path logFile = folder.resolve("gateway-" + number + ".log");
        try {
            Process process =
                    new ProcessBuilder(command(folder))
                            .redirectErrorStream(true)
                            .redirectOutput(logFile.toFile())
                            .start();
            world.processes().put(number, SoakProcessRow.started(number, process, logFile));
            int started = number;
            process.onExit().thenRun(() -> noteEnd(started, world.nowMillis()));
        } catch (IOException notStarted) {
            throw new UncheckedIOException(notStarted);
        }
    }

    private void noteEnd(int ended, long endedMillis) {
        context.runOnContext(done -> restart(ended, endedMillis));
    }

    /**
     * Starts the next process once one has ended, at other ports if a program of the machine took
     * one meanwhile. Any other end that nobody asked for is reported.
     */
    private void restart(int ended, long endedMillis) {
        SoakProcessRow row =
                world.processes().update(ended, r -> r.ended(endedMillis)).orElseThrow();
        if (read(row.logFile()).contains(ResultCode.PORT_IN_USE.name())) {
            pickPorts();
        } else if (row.stopMillis().isEmpty() && row.killedMillis().isEmpty() && !closed) {
            world.report("the process ended", "exit code " + row.process().exitValue());
        } else if (row.stopMillis().isPresent() && row.killedMillis().isEmpty()) {
            checkStop(row);
        }
        start();
    }

    /** Reports a planned stop that did not reach its last step, unless the process was frozen. */
    private void checkStop(SoakProcessRow row) {
        String log = read(row.logFile());
        Matcher steps = STOP_STEPS.matcher(log);
        String last = steps.results().map(step -> step.group(1)).reduce("", (a, b) -> b);
        boolean isFrozen =
                world.wholeFreezeMillis(row.stopMillis().orElseThrow(), world.nowMillis()) > 0;
        if (log.contains("PROCESS_STARTED") && !last.equals("STOPPED") && !isFrozen) {
            world.report("a planned stop without its last step", row + " last step: " + last);
        }
    }

    /** Sends SIGTERM, and kills the process when its grace is over. */
    void stop() {
        SoakProcessRow asked = current().stopped(world.nowMillis());
        world.processes().put(number, asked);
        sendSignal("TERM", asked);
        world.vertx().setTimer(GRACE_MILLIS, late -> endGrace(asked));
    }

    private void endGrace(SoakProcessRow asked) {
        long nowMillis = world.nowMillis();
        if (asked.process().isAlive() && asked.number() == number) {
            noteFreeze();
            if (world.wholeFreezeMillis(asked.stopMillis().orElseThrow(), nowMillis) == 0) {
                world.report("a planned stop did not end within its grace", asked.toString());
            }
            kill();
        }
    }

    void kill() {
        world.processes().update(number, row -> row.killed(world.nowMillis()));
        current().process().destroyForcibly();
    }

    /** Suspends the process for a time. */
    void freeze(long millis) {
        SoakProcessRow frozen = current();
        if (openFreezes == 0) {
            frozenFromMillis = world.nowMillis();
            sendSignal("STOP", frozen);
        }
        openFreezes++;
        world.vertx().setTimer(millis, done -> endFreeze(frozen));
    }

    /** Continues the process once the last of the freezes that overlap is over. */
    private void endFreeze(SoakProcessRow frozen) {
        if (frozen.number() != number) {
            return;
        }
        if (openFreezes == 1) {
            sendSignal("CONT", frozen);
            noteFreeze();
        }
        openFreezes--;
    }

    private void noteFreeze() {
        if (openFreezes > 0) {
            world.freezes().add(new SoakWorld.Freeze(frozenFromMillis, world.nowMillis()));
        }
    }

    /**
     * Sends SIGHUP to a process that has written its first line, since the signal ends any program
     * before its main method; {@link StartingGatewayTest} covers the time in between.
     */
    void reload() {
        if (current().logFile().toFile().length() > 0) {
            sendSignal("HUP", current());
        }
    }

    /**
     * Sends signals in order, on a thread of their own, as the start of a program takes a while.
     */
    private void sendSignal(String name, SoakProcessRow target) {
        if (!signals.isShutdown()) {
            signals.execute(() -> sendSignalNow(name, target));
        }
    }

    private static void sendSignalNow(String name, SoakProcessRow target) {
        if (!target.process().isAlive()) {
            return;
        }
        try {
            String id = Long.toString(target.process().pid());
            new ProcessBuilder("kill", "-" + name, id).start().waitFor();
        } catch (IOException notStarted) {
            throw new UncheckedIOException(notStarted);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reports requests that the process has lost; done without a result if it does not answer. */
    CompletableFuture<Void> checkOrphans() {
        CompletableFuture<Void> checked = new CompletableFuture<>();
        get(internalPort, "/metrics")
                .whenComplete(
                        (metrics, failure) ->
                                context.runOnContext(
                                        done -> {
                                            Optional.ofNullable(metrics)
                                                    .ifPresent(this::reportOrphans);
                                            checked.complete(null);
                                        }));
        return checked;
    }

    private void reportOrphans(String metrics) {
        Matcher orphans = ORPHANS.matcher(metrics);
        if (!orphans.find() || !orphans.group(1).equals(ZERO)) {
            world.report("orphans", orphans.hitEnd() ? "no metric" : orphans.group());
        }
    }

    boolean isReady() {
        return get(readinessPort, "/ready").handle((text, failure) -> failure == null).join();
    }

    boolean hasNoOpenRequest() {
        return get(internalPort, "/metrics")
                .handle(
                        (text, failure) ->
                                failure == null
                                        && text.contains(
                                                "bramleylatch_gateway_open_requests " + ZERO))
                .join();
    }

    /** Asks the process to stop; no other one follows. */
    void retire() {
        closed = true;
        stop();
    }

    boolean hasEnded() {
        return current().endedMillis().isPresent();
    }

    /** Kills the process that runs now, and starts no other one. */
    void close() {
        closed = true;
        world.processes().rows().forEach(row -> row.process().destroyForcibly());
        signals.shutdown();
    }

    /** Returns the process that was started last. */
    SoakProcessRow current() {
        return world.processes().find(number).orElseThrow();
    }

    private CompletableFuture<String> get(int port, String path) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .timeout(METRICS_TIMEOUT)
                        .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(
                        answer -> {
                            if (answer.statusCode() != 200) {
                                throw new IllegalStateException("status " + answer.statusCode());
                            }
                            return answer.body();
                        });
    }

    /** Returns the command that runs a gateway with the settings in the folder. */
    static List<String> command(Path folder) {
        List<String> command = new ArrayList<>(javaOptions());
        command.addAll(
                List.of(
                        "-cp",
                        classPath(),
                        GatewayMain.class.getName(),
                        "--boot",
                        folder.resolve(BOOT_FILE).toString(),
                        "--settings",
                        folder.resolve(SETTINGS_FILE).toString()));
        return command;
    }

    /** Returns the tests' class path without Alloy, which holds another library's old logging. */
    private static String classPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> !entry.contains("alloy"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    private static List<String> javaOptions() {
        Matcher command = RUN_COMMAND.matcher(read(Path.of("../deploy/system.toml")));
        if (!command.find()) {
            throw new IllegalStateException("deploy/system.toml has no command");
        }
        List<String> options = new ArrayList<>();
        options.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Arrays.stream(command.group(1).split(" "))
                .filter(option -> !option.contains("SharedArchiveFile"))
                .forEach(options::add);
        return options;
    }

    private String bootJson() {
        return """
            {"node": "front-1", "zone": "langnau", "ip": "127.0.0.1", "internalPorts": [%d],
             "listen": {"front": "127.0.0.1:%d", "readiness": "127.0.0.1:%d"},
             "provider": {"address": "%s", "keep_s": 300},
             "limits": {"cpuShare": 0.75, "cores": 1},
             "bounds": {"graceS": %d, "retryBudgetRatio": 0.2, "budgetExtra": 56,
                        "budgetWindowS": 10}}
            """
                .formatted(internalPort, callerPort, readinessPort, store, GRACE_MILLIS / 1_000);
    }

    /** Writes a file into the folder of the soak. */
    void write(String name, String text) {
        try {
            Files.createDirectories(folder);
            Files.writeString(folder.resolve(name), text);
        } catch (IOException notWritten) {
            throw new UncheckedIOException(notWritten);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }
}

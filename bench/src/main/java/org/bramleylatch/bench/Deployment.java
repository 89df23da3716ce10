package org.bramleylatch.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.bramleylatch.admin.AdminMain;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.Digests;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.keeper.KeeperMain;
import org.bramleylatch.router.RouterMain;
import org.bramleylatch.standin.EngineMain;
import org.bramleylatch.standin.PlatformMain;
import org.bramleylatch.standin.ServiceMain;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;

/**
 * Starts routers, keepers, the administration API and the stand-ins for the platform, the engines
 * and the services as processes on loopback. Closing it, or the end of this JVM, kills the
 * processes that it started and no others.
 */
public final class Deployment implements AutoCloseable {
    /** The admin key of the owner "operators", which owns every configuration section. */
    public static final String ADMIN_KEY = "demo-admin-key";

    /** The key of the member whose requests are paid from {@link #BUDGET}. */
    public static final String MEMBER_KEY = "demo-member-key";

    /** The only budget that {@link #publishAndTopUp} creates. */
    public static final String BUDGET = "seilnetz-dispatch";

    private static final String LOOPBACK = "127.0.0.1";
    private static final long READY_TIMEOUT_MILLIS = 30_000;
    private static final long STOP_TIMEOUT_SECONDS = 20;

    private final Path folder;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Address> addresses = new LinkedHashMap<>();
    private final List<VmList.Vm> vms = new ArrayList<>();
    private final List<String> jvmOptions;

    private Deployment(Path folder, List<String> jvmOptions) {
        this.folder = folder;
        this.jvmOptions = jvmOptions;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns a deployment without processes; settings, logs and timelines go to the folder. */
    public static Deployment in(Path folder) {
        return new Deployment(
                folder,
                List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto"));
    }

    /** Returns a deployment whose processes run with the given JVM options. */
    public static Deployment in(Path folder, List<String> jvmOptions) {
        return new Deployment(folder, jvmOptions);
    }

    /**
     * Starts an engine in the zone; call before the platform is started, which lists it with the
     * 100,000 tokens of memory that an engine has by default.
     */
    public Deployment startEngine(String name, String zone, String version, String... options) {
        Address address = reserveAddress(name);
        vms.add(vm(name, "seilhelfer", zone, address, version, 100_000));
        List<String> arguments = new ArrayList<>(List.of("--port", "" + address.port()));
        arguments.addAll(List.of(options));
        startProcess(name, EngineMain.class, arguments);
        return this;
    }

    /**
     * Sets the memory that the platform lists for an engine; call before the platform is started.
     * The engine's own limit is set by its option {@code --memory-tokens}.
     */
    public Deployment setListedEngineMemory(String name, long memoryTokens) {
        vms.replaceAll(
                vm ->
                        vm.id().value().equals(name)
                                ? vm(
                                        name,
                                        vm.backEnd(),
                                        vm.zone().value(),
                                        addresses.get(name),
                                        vm.version().value(),
                                        memoryTokens)
                                : vm);
        return this;
    }

    /** Starts a plain service in the zone; call before the platform is started, which lists it. */
    public Deployment startService(String name, String zone) {
        Address address = reserveAddress(name);
        vms.add(vm(name, "ordnerei", zone, address, "v1", 0));
        startProcess(name, ServiceMain.class, List.of("--port", "" + address.port()));
        return this;
    }

    /** Starts the platform, which lists the engines and services started so far. */
    public Deployment startPlatform(String... options) {
        Address address = reserveAddress("platform");
        Path file = writeFile("vms.json", Json.write(new VmList(vms)));
        List<String> arguments =
                new ArrayList<>(List.of("--port", "" + address.port(), "--vms", file.toString()));
        arguments.addAll(List.of(options));
        startProcess("platform", PlatformMain.class, arguments);
        return this;
    }

    /** Starts the administration API in the zone. */
    public Deployment startAdmin(String zone) {
        Address address = reserveAddress("admin");
        String settings =
                commonSettings("admin", zone, address, List.of())
                        + ",\"adminKeys\":[{\"owner\":\"operators\",\"keySha256\":\""
                        + Digests.sha256(ADMIN_KEY)
                        + "\"}]}";
        startProcess("admin", AdminMain.class, writeSettings("admin", settings));
        return this;
    }

    /** Starts a keeper in the zone. */
    public Deployment startKeeper(String name, String zone) {
        return startKeeper(name, zone, "");
    }

    /** Starts a keeper in the zone with further settings as JSON, each preceded by a comma. */
    public Deployment startKeeper(String name, String zone, String extraSettings) {
        return startKeeperWithPeers(name, zone, List.of(), extraSettings);
    }

    /** Starts a keeper in the zone on an address where another process already listens. */
    public Deployment startKeeperAtAddressOf(String name, String zone, String otherProcess) {
        addresses.put(name, addresses.get(otherProcess));
        return startKeeper(name, zone);
    }

    /** Starts a keeper in the zone that can load the ledger from another keeper. */
    public Deployment startKeeperWithPeer(String name, String zone, String peer) {
        return startKeeperWithPeers(name, zone, List.of(findOrReserveAddress(peer)), "");
    }

    private Deployment startKeeperWithPeers(
            String name, String zone, List<Address> peers, String extraSettings) {
        Address address = findOrReserveAddress(name);
        String settings = commonSettings(name, zone, address, peers) + extraSettings + "}";
        startProcess(name, KeeperMain.class, writeSettings(name, settings));
        return this;
    }

    /** Starts a router in the zone that connects to the keepers, which may be started later. */
    public Deployment startRouter(String name, String zone, String... keepers) {
        Address address = findOrReserveAddress(name);
        List<Address> keeperAddresses = new ArrayList<>();
        for (String keeper : keepers) {
            keeperAddresses.add(findOrReserveAddress(keeper));
        }
        String settings = commonSettings(name, zone, address, keeperAddresses) + "}";
        startProcess(name, RouterMain.class, writeSettings(name, settings));
        return this;
    }

    /**
     * Starts the platform, the administration API and one entry VM in langnau, publishes the
     * configuration and tops the budget up. The entry VM's processes are "router" and "keeper".
     */
    public Deployment startOneEntryVm(long paidTokens) {
        startPlatform()
                .startAdmin("langnau")
                .startKeeper("keeper", "langnau")
                .startRouter("router", "langnau", "keeper");
        awaitReady("admin", "keeper");
        publishAndTopUp(paidTokens);
        awaitReady("router");
        return this;
    }

    /** Returns a client that sends its requests to a process. */
    public ProcessClient client(String name) {
        return ProcessClient.of(addresses.get(name));
    }

    /** Returns the address at which a process listens, or will listen once it is started. */
    public Address address(String name) {
        return addresses.get(name);
    }

    /** Returns a process that was started and not stopped. */
    public Process process(String name) {
        return processes.get(name);
    }

    /**
     * Waits until every given process reports that it is ready, up to 30 s each.
     *
     * @throws IllegalStateException if one exits or is not ready in time
     */
    public void awaitReady(String... names) {
        for (String name : names) {
            Await.until(name + " is ready", READY_TIMEOUT_MILLIS, () -> isReady(name));
        }
    }

    private boolean isReady(String name) {
        Process process = processes.get(name);
        if (!process.isAlive()) {
            throw new IllegalStateException(
                    name
                            + " exited with code "
                            + process.exitValue()
                            + " before it was ready, see "
                            + folder.resolve(name + ".log"));
        }
        return client(name).isOk("/readyz");
    }

    /** Publishes routes and a member, creates the member's budget and tops it up. */
    public void publishAndTopUp(long paidTokens) {
        ProcessClient admin = client("admin").withKey(ADMIN_KEY);
        admin.put("/admin/v1/sections/routes", RequestBodies.routes()).expectStatus(200);
        admin.put("/admin/v1/sections/members", RequestBodies.members()).expectStatus(200);
        admin.post(
                        "/admin/v1/budgets",
                        "{\"budget\":\"" + BUDGET + "\",\"workspace\":\"dispatch\"}")
                .expectStatus(201);
        admin.post("/admin/v1/budgets/" + BUDGET + "/top-ups", "{\"tokens\":" + paidTokens + "}")
                .expectStatus(200);
    }

    /** Sends a signal such as "STOP" to a process of this deployment. */
    public void signal(String name, String signal) {
        runCommand("kill", "-" + signal, Long.toString(processes.get(name).pid()));
    }

    /** Runs a garbage collection in the JVM of a process. */
    public void collectGarbage(String name) {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        runCommand(jcmd, Long.toString(processes.get(name).pid()), "GC.run");
    }

    /** Returns the resident memory of a process in bytes. */
    public long residentBytes(String name) {
        Path status = Path.of("/proc", Long.toString(processes.get(name).pid()), "status");
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024)
                    .findFirst()
                    .orElseThrow();
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static void runCommand(String... words) {
        try {
            new ProcessBuilder(words)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        } catch (IOException notStarted) {
            throw new UncheckedIOException(notStarted);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends SIGTERM to a process, kills it if it has not exited after 20 s, and returns its exit
     * code.
     */
    public int stop(String name) {
        Process process = processes.remove(name);
        process.destroy();
        return awaitExit(process);
    }

    /** Returns the timeline files written so far by processes that were not stopped. */
    public List<Path> timelineFiles() {
        return processes.keySet().stream()
                .map(name -> folder.resolve(name + ".timeline"))
                .filter(Files::exists)
                .toList();
    }

    @Override
    public void close() {
        List<Process> remaining = List.copyOf(processes.values());
        processes.clear();
        remaining.forEach(Process::destroyForcibly);
        remaining.forEach(Deployment::awaitExit);
    }

    private static int awaitExit(Process process) {
        try {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
            return process.waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    private void startProcess(String name, Class<?> main, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(arguments);
        try {
            Files.createDirectories(folder);
            Path log = folder.resolve(name + ".log");
            processes.put(
                    name,
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start());
        } catch (IOException notStarted) {
            throw new UncheckedIOException(notStarted);
        }
    }

    private List<String> writeSettings(String name, String json) {
        return List.of("--settings", writeFile(name + ".json", json).toString());
    }

    /** Returns the settings common to all processes, as JSON without the closing brace. */
    private String commonSettings(
            String name, String zone, Address listen, List<Address> keeperAddresses) {
        return "{\"zone\":\""
                + zone
                + "\",\"vm\":\""
                + name
                + "\",\"listen\":"
                + Json.write(listen)
                + ",\"platform\":"
                + Json.write(addresses.get("platform"))
                + ",\"keepers\":"
                + Json.write(keeperAddresses)
                + ",\"timelineFile\":\""
                + folder.resolve(name + ".timeline")
                + "\"";
    }

    private Path writeFile(String name, String text) {
        try {
            Files.createDirectories(folder);
            return Files.writeString(folder.resolve(name), text);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    private Address findOrReserveAddress(String name) {
        return addresses.containsKey(name) ? addresses.get(name) : reserveAddress(name);
    }

    private Address reserveAddress(String name) {
        Address address = new Address(LOOPBACK, FreePorts.pick(LOOPBACK));
        addresses.put(name, address);
        return address;
    }

    private static VmList.Vm vm(
            String name,
            String backEnd,
            String zone,
            Address address,
            String version,
            long memoryTokens) {
        return new VmList.Vm(
                EndpointId.of(name),
                backEnd,
                Zone.of(zone),
                address.ip(),
                address.port(),
                Version.of(version),
                memoryTokens,
                false);
    }
}

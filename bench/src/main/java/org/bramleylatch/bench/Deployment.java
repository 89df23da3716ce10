package org.bramleylatch.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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
 * Starts the binaries and the stand-ins as processes on loopback, and stops just those. Each zone
 * has entry VMs with a router and a keeper, engines and a service.
 */
public final class Deployment implements AutoCloseable {
    /** The key of the owner of every section. */
    public static final String ADMIN_KEY = "demo-admin-key";

    /** The key of the member whose budget is {@link #BUDGET}. */
    public static final String MEMBER_KEY = "demo-member-key";

    /** The budget of the member. */
    public static final String BUDGET = "seilnetz-dispatch";

    private static final String LOOPBACK = "127.0.0.1";
    private static final long READY_MILLIS = 30_000;
    private static final long STOP_SECONDS = 20;

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

    /** Returns a deployment without processes that keeps its files in the folder. */
    public static Deployment in(Path folder) {
        return new Deployment(
                folder,
                List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto"));
    }

    /** Returns a deployment whose processes run with the given JVM options. */
    public static Deployment in(Path folder, List<String> jvmOptions) {
        return new Deployment(folder, jvmOptions);
    }

    /** Adds an engine to the zone; call before the platform is started. */
    public Deployment withEngine(String name, String zone, String version, String... options) {
        Address address = reserve(name);
        vms.add(vm(name, "seilhelfer", zone, address, version, 100_000));
        List<String> arguments = new ArrayList<>(List.of("--port", "" + address.port()));
        arguments.addAll(List.of(options));
        start(name, EngineMain.class, arguments);
        return this;
    }

    /** Tells the platform how many tokens an engine can hold; call before it is started. */
    public Deployment withMemory(String name, long tokens) {
        vms.replaceAll(
                vm ->
                        vm.id().value().equals(name)
                                ? vm(
                                        name,
                                        vm.backEnd(),
                                        vm.zone().value(),
                                        addresses.get(name),
                                        vm.version().value(),
                                        tokens)
                                : vm);
        return this;
    }

    /** Adds a plain service to the zone; call before the platform is started. */
    public Deployment withService(String name, String zone) {
        Address address = reserve(name);
        vms.add(vm(name, "ordnerei", zone, address, "v1", 0));
        start(name, ServiceMain.class, List.of("--port", "" + address.port()));
        return this;
    }

    /** Starts the platform with the VMs that were added. */
    public Deployment withPlatform(String... options) {
        Address address = reserve("platform");
        Path file = write("vms.json", Json.write(new VmList(vms)));
        List<String> arguments =
                new ArrayList<>(List.of("--port", "" + address.port(), "--vms", file.toString()));
        arguments.addAll(List.of(options));
        start("platform", PlatformMain.class, arguments);
        return this;
    }

    /** Starts the administration API. */
    public Deployment withAdmin(String zone) {
        Address address = reserve("admin");
        String settings =
                settings("admin", zone, address, List.of())
                        + ",\"adminKeys\":[{\"owner\":\"operators\",\"keySha256\":\""
                        + Digests.sha256(ADMIN_KEY)
                        + "\"}]}";
        start("admin", AdminMain.class, settingsFile("admin", settings));
        return this;
    }

    /** Starts a keeper in the zone. */
    public Deployment withKeeper(String name, String zone) {
        return withKeeper(name, zone, "");
    }

    /** Starts a keeper in the zone with further settings, each behind a comma. */
    public Deployment withKeeper(String name, String zone, String more) {
        return startKeeper(name, zone, List.of(), more);
    }

    /** Starts a keeper in the zone that is to listen where another process does. */
    public Deployment withKeeperAt(String name, String zone, String other) {
        addresses.put(name, addresses.get(other));
        return withKeeper(name, zone);
    }

    /** Starts a keeper in the zone that may ask another one for its ledger. */
    public Deployment withKeeperAndPeer(String name, String zone, String peer) {
        return startKeeper(name, zone, List.of(addressOf(peer)), "");
    }

    private Deployment startKeeper(String name, String zone, List<Address> peers, String more) {
        Address address = addressOf(name);
        String settings = settings(name, zone, address, peers) + more + "}";
        start(name, KeeperMain.class, settingsFile(name, settings));
        return this;
    }

    /** Starts a router in the zone that uses the given keepers, which may be started later. */
    public Deployment withRouter(String name, String zone, String... keepers) {
        Address address = addressOf(name);
        List<Address> links = new ArrayList<>();
        for (String keeper : keepers) {
            links.add(addressOf(keeper));
        }
        String settings = settings(name, zone, address, links) + "}";
        start(name, RouterMain.class, settingsFile(name, settings));
        return this;
    }

    /**
     * Starts the platform, the administration API and one entry VM in langnau, publishes the
     * configuration and pays the tokens in; its processes are "router" and "keeper".
     */
    public Deployment withOneEntryVm(long paidTokens) {
        withPlatform()
                .withAdmin("langnau")
                .withKeeper("keeper", "langnau")
                .withRouter("router", "langnau", "keeper");
        awaitReady("admin", "keeper");
        publish(paidTokens);
        awaitReady("router");
        return this;
    }

    /** Returns the client for a process. */
    public Caller caller(String name) {
        return Caller.of(addresses.get(name));
    }

    /** Returns where a process listens. */
    public Address address(String name) {
        return addresses.get(name);
    }

    /** Returns the process with the given name. */
    public Process process(String name) {
        return processes.get(name);
    }

    /** Waits until every given process says that it is ready. */
    public void awaitReady(String... names) {
        for (String name : names) {
            Await.until(name + " is ready", READY_MILLIS, () -> caller(name).isOk("/readyz"));
        }
    }

    /** Publishes routes and a member, creates the member's budget and pays tokens in. */
    public void publish(long tokens) {
        Caller admin = caller("admin").withKey(ADMIN_KEY);
        admin.put("/admin/v1/sections/routes", Documents.routes()).expect(200);
        admin.put("/admin/v1/sections/members", Documents.members()).expect(200);
        admin.post(
                        "/admin/v1/budgets",
                        "{\"budget\":\"" + BUDGET + "\",\"workspace\":\"dispatch\"}")
                .expect(201);
        admin.post("/admin/v1/budgets/" + BUDGET + "/top-ups", "{\"tokens\":" + tokens + "}")
                .expect(200);
    }

    /** Sends a signal to a process that this deployment started. */
    public void signal(String name, String signal) {
        command("kill", "-" + signal, Long.toString(processes.get(name).pid()));
    }

    /** Lets the JVM of a process collect its garbage. */
    public void collectGarbage(String name) {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        command(jcmd, Long.toString(processes.get(name).pid()), "GC.run");
    }

    /** Returns how much memory a process has in use, in bytes. */
    public long residentBytes(String name) {
        Path status = Path.of("/proc", Long.toString(processes.get(name).pid()), "status");
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024)
                    .findFirst()
                    .orElseThrow();
        } catch (IOException gone) {
            throw new UncheckedIOException(gone);
        }
    }

    private static void command(String... words) {
        try {
            new ProcessBuilder(words)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        } catch (IOException unavailable) {
            throw new UncheckedIOException(unavailable);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks a process to stop and waits for it; returns its exit code. */
    public int stop(String name) {
        Process process = processes.remove(name);
        process.destroy();
        return await(process);
    }

    /** Returns the time line files that were written so far. */
    public List<Path> timelines() {
        return processes.keySet().stream()
                .map(name -> folder.resolve(name + ".timeline"))
                .filter(Files::exists)
                .toList();
    }

    @Override
    public void close() {
        List<Process> left = List.copyOf(processes.values());
        processes.clear();
        left.forEach(Process::destroyForcibly);
        left.forEach(Deployment::await);
    }

    private static int await(Process process) {
        try {
            if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
            return process.waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    private void start(String name, Class<?> main, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(arguments);
        try {
            Path log = folder.resolve(name + ".log");
            processes.put(
                    name,
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start());
        } catch (IOException unavailable) {
            throw new UncheckedIOException(unavailable);
        }
    }

    private List<String> settingsFile(String name, String json) {
        return List.of("--settings", write(name + ".json", json).toString());
    }

    private String settings(String name, String zone, Address listen, List<Address> keepers) {
        return "{\"zone\":\""
                + zone
                + "\",\"vm\":\""
                + name
                + "\",\"listen\":"
                + Json.write(listen)
                + ",\"platform\":"
                + Json.write(addresses.get("platform"))
                + ",\"keepers\":"
                + Json.write(keepers)
                + ",\"timelineFile\":\""
                + folder.resolve(name + ".timeline")
                + "\"";
    }

    private Path write(String name, String text) {
        try {
            Files.createDirectories(folder);
            return Files.writeString(folder.resolve(name), text);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    private Address addressOf(String name) {
        return addresses.containsKey(name) ? addresses.get(name) : reserve(name);
    }

    private Address reserve(String name) {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            Files.createDirectories(folder);
            Address address = new Address(LOOPBACK, socket.getLocalPort());
            addresses.put(name, address);
            return address;
        } catch (IOException none) {
            throw new UncheckedIOException(none);
        }
    }

    private static VmList.Vm vm(
            String name, String backEnd, String zone, Address at, String version, long memory) {
        return new VmList.Vm(
                EndpointId.of(name),
                backEnd,
                Zone.of(zone),
                at.ip(),
                at.port(),
                Version.of(version),
                memory,
                false);
    }
}

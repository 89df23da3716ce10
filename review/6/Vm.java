import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs the gateway of one machine as a process, with the command of the deploy file. */
final class Vm {
    final String name;
    final String zone;
    final String ip;
    final int frontPort;
    private final int readyPort;
    private final Path folder;
    private final Path root;
    private final Record record;
    private Process process;
    private int starts;

    /**
     * Prepares a machine with free ports; nothing is started yet.
     *
     * @param root the checkout, in which the command of the deploy file runs
     * @param number a number that no other machine of the case has, from 1 to 200
     */
    Vm(Path root, Path temporary, Record record, Store store, String zone, int number)
            throws IOException {
        this.root = root;
        this.record = record;
        this.zone = zone;
        this.name = "front-" + zone + "-" + number;
        this.ip = "127.0.7." + number;
        this.folder = Files.createDirectories(temporary.resolve(name));
        this.frontPort = freePorts(ip, 1);
        this.readyPort = freePorts(ip, 1);
        int internalPort = freePorts(ip, 2);
        Files.writeString(
                folder.resolve("boot.json"),
                """
                {"node": "%s", "role": "gateway", "machineClass": "front", "serves": ["front"],
                 "ip": "%s", "zone": "%s", "region": "mittelland",
                 "listen": {"front": "%s:%d", "readiness": "%s:%d"},
                 "internalPorts": [%d, %d], "seeds": [], "bootstrap": true,
                 "limits": {"cpuShare": 0.75, "cores": 1, "memoryMb": 430, "maxFds": 4100,
                  "linkMbps": 1000.0, "diskMb": 0},
                 "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
                 "bounds": {"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000,
                  "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
                  "configMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000,
                  "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56,
                  "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000,
                  "recoveryS": 12, "settle_ms": 1500},
                 "provider": {"address": "%s", "form": "log", "writesPerS": 800,
                  "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "recordBytes": %d,
                  "callBytes": %d, "keep_s": %d, "partMb": 200, "ttlMinMs": 1000}}
                """
                        .formatted(
                                name, ip, zone, ip, frontPort, ip, readyPort, internalPort,
                                internalPort + 1, store.address(), Store.RECORD_BYTES,
                                Store.CALL_BYTES, store.keepSeconds()));
    }

    /** Starts the process; it may take seconds until it is ready. */
    void start() throws IOException {
        starts++;
        if (starts == 2) {
            Path settings = folder.resolve("boot.json");
            String text = Files.readString(settings);
            Files.writeString(settings, text.replace("\"bootstrap\": true", "\"bootstrap\": false"));
        }
        List<String> command = new ArrayList<>(List.of(runCommand().split(" +")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BRAMLEYLATCH_BOOT", folder.resolve("boot.json").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log-" + starts + ".txt").toFile());
        process = builder.start();
        record.note(name + " started, pid " + process.pid());
    }

    private String runCommand() throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            isRole = line.startsWith("[") ? line.equals("[roles.gateway]") : isRole;
            if (isRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no command of the role gateway in deploy/system.toml");
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean isReady() {
        try (Http http = new Http(ip, readyPort, 500)) {
            return http.send("GET /ready HTTP/1.1\r\nHost: " + name + "\r\n\r\n").status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    void awaitReady(long timeoutMillis) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > endNanos) {
                throw new IOException(name + " is not ready after " + timeoutMillis + " ms");
            }
            Thread.sleep(50);
        }
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor();
            record.note(name + " killed");
        }
    }

    /** SIGTERM; waits until the process has ended, and kills it after the grace period. */
    void terminate(long graceMillis) throws InterruptedException {
        record.note(name + " gets SIGTERM");
        process.destroy();
        if (!process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
            process.waitFor();
        }
        record.note(name + " ended");
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.note(name + " gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the first of some free ports in a row on the address. */
    static int freePorts(String ip, int count) throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = 10_000 + (int) (Math.random() * 20_000);
            boolean free = true;
            for (int i = 0; i < count && free; i++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName(ip), port + i));
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no free ports on " + ip);
    }
}

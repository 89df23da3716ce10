import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs the project's program with the command of the deploy file, on an address of its own. */
final class Gateway {
    final String ip;
    final int frontPort;
    private final int readyPort;
    private final Path boot;
    private final Path log;
    private final String node;
    private Process process;

    Gateway(String node, String zone, String ip, int[] ports, Store store, Path folder)
            throws IOException {
        this.node = node;
        this.ip = ip;
        frontPort = ports[0];
        readyPort = ports[1];
        boot = folder.resolve(node + ".json");
        log = folder.resolve(node + ".log");
        Files.writeString(
                boot,
                """
                {"node": "%s", "role": "gateway", "machineClass": "front", "serves": ["front"],
                 "ip": "%s", "zone": "%s", "region": "r",
                 "listen": {"front": "%s:%d", "readiness": "%s:%d"},
                 "internalPorts": [%d, %d], "seeds": [], "bootstrap": true,
                 "limits": {"cpuShare": 0.75, "cores": 1, "memoryMb": 430, "maxFds": 4100},
                 "heartbeatMs": 1200,
                 "bounds": {"stableMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8,
                  "configMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56},
                 "provider": {"address": "%s", "form": "log", "writesPerS": 800, "readsPerS": 2000,
                  "parts": 12, "appendMs": 2.0, "recordBytes": 262144, "callBytes": 2097152,
                  "keep_s": 300, "partMb": 200, "ttlMinMs": 1000}}
                """
                        .formatted(
                                node, ip, zone, ip, frontPort, ip, readyPort, ports[2], ports[2] + 15,
                                store.address()));
    }

    /** Returns ports that are free on all the addresses; a machine's ports are the same. */
    static int[] freePorts(String... ips) throws IOException {
        int[] ports = new int[3];
        for (int i = 0; i < ports.length; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ips[0]))) {
                ports[i] = socket.getLocalPort();
            }
        }
        return ports;
    }

    void start() throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(file);
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        List<String> words = Arrays.asList(run.group(1).split(" +"));
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("BRAMLEYLATCH_BOOT", boot.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process at once, like SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Ends the process at once if it was started. */
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Sends a signal to the process, such as TERM, STOP or CONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitReady(long millis) {
        long end = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < end) {
            if (isReady()) {
                return true;
            }
            Store.sleep(50);
        }
        return false;
    }

    boolean isReady() {
        try {
            HttpURLConnection call =
                    (HttpURLConnection) new URL("http://" + ip + ":" + readyPort + "/ready").openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            return call.getResponseCode() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    @Override
    public String toString() {
        return node;
    }
}

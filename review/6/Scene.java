import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** Sets up a small deployment on loopback, runs a case on it, and ends all that it started. */
abstract class Scene {
    static final String HOST = "ficu95.example";
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long MAX_MILLIS = 117_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Vm> vms = new ArrayList<>();
    final List<Back> backs = new ArrayList<>();
    Record record;
    Store store;
    private Path root;
    private Path temporary;

    /** Runs the case; returns true if the rule was broken. */
    abstract boolean isBroken() throws Exception;

    /** Runs a case and ends the process with its result. */
    static void main(Scene scene, String[] arguments) throws IOException {
        scene.root = Path.of("").toAbsolutePath();
        scene.temporary = Files.createTempDirectory("case");
        scene.record = new Record(Path.of(arguments[0]));
        scene.store = new Store(scene.record::note);
        Thread watch = new Thread(scene::endInTime);
        watch.setDaemon(true);
        watch.start();
        int result = NOT_RUN;
        try {
            result = scene.isBroken() ? BROKEN : HELD;
        } catch (Exception failed) {
            scene.record.say("could not run: " + failed);
        }
        scene.record.say("trouble=" + scene.trouble + " result=" + result);
        scene.end(result);
    }

    private void endInTime() {
        try {
            Thread.sleep(MAX_MILLIS);
            record.say("could not run: time is over");
            end(NOT_RUN);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void end(int result) {
        for (Vm vm : vms) {
            try {
                vm.kill();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException left) {
                System.out.println("left " + temporary);
            }
        } else {
            System.out.println("logs in " + temporary);
        }
        Runtime.getRuntime().halt(result);
    }

    Vm addVm(String zone) throws IOException {
        Vm vm = new Vm(root, temporary, record, store, zone, vms.size() + 1);
        vms.add(vm);
        return vm;
    }

    void startAll() throws IOException, InterruptedException {
        for (Vm vm : vms) {
            vm.start();
        }
        for (Vm vm : vms) {
            vm.awaitReady(25_000);
        }
        record.note("all machines are ready");
    }

    /** Writes a configuration with two routes and the given number of tenants. */
    void configure(int version, int tenants, long prepaid) {
        List<String> rows = new ArrayList<>();
        for (int i = 0; i < tenants; i++) {
            rows.add(
                    "{\"name\":\"" + tenant(i) + "\",\"apiKeys\":[\"" + key(i)
                            + "\"],\"prepaid\":" + prepaid + "}");
        }
        store.put(
                "keyed.op",
                "config",
                """
                {"version": %d,
                 "routes": [
                  {"name": "chat", "host": "%s", "pathPrefix": "/lohu930/", "kind": "streaming",
                   "service": "llm", "maxAttempts": 2, "resumable": true, "sticky": true,
                   "timeoutMs": 15000, "targetLatencyMs": 400, "gapTargetMs": 250,
                   "priority": 0},
                  {"name": "orders", "host": "%s", "pathPrefix": "/pule252/", "kind": "unsafe",
                   "service": "app", "maxAttempts": 1, "timeoutMs": 3000,
                   "targetLatencyMs": 386, "priority": 2}],
                 "services": [{"name": "llm", "engine": {"kvCapacity": 497141, "stride": 4}},
                  {"name": "app"}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                  "headerTimeoutMs": 3000, "idleTimeoutMs": 30000},
                 "tenants": [%s]}
                """
                        .formatted(version, HOST, HOST, String.join(",", rows)));
    }

    static String tenant(int number) {
        return "huka" + (100 + number);
    }

    static String key(int number) {
        return "xd9dnn2ctnfzs989anu" + number;
    }

    static String newId() {
        return "%016x".formatted(ThreadLocalRandom.current().nextLong());
    }

    /** Returns a request of the streaming route. */
    static String chat(String id, int tenant, int promptTokens, int answerTokens) {
        return "POST /lohu930/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
                + "\r\nModel: m\r\nToken-Counts: " + promptTokens + "," + answerTokens
                + "\r\nPrompt-Prefix: 5c1e07a2:" + (promptTokens - 200)
                + ",e4402b7d:200\r\nDeadline-Ms: 5000\r\nX-Api-Key: " + key(tenant)
                + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Returns a request of the route whose requests run once at most. */
    static String order(String id, int tenant) {
        return "POST /pule252/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 3000\r\nX-Api-Key: " + key(tenant)
                + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Sends a request over a connection of its own and returns the status, or what failed. */
    String send(Vm vm, String id, String request) {
        String result;
        try (Http http = new Http(vm.ip, vm.frontPort, 5_000)) {
            Http.Answer answer = http.send(request);
            result = answer.status() + (answer.complete() ? "" : " incomplete");
        } catch (IOException | RuntimeException failed) {
            result = failed.getClass().getSimpleName();
        }
        record.note(vm.name + " answers " + id + " " + result);
        return result;
    }

    /** Sleeps for a time, but not past the given end. */
    void sleep(long millis, long endMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, Math.min(millis, endMillis - record.millis())));
    }

    static void countInto(Map<String, Integer> counts, String result) {
        synchronized (counts) {
            counts.merge(result, 1, Integer::sum);
        }
    }

    static Map<String, Integer> counts() {
        return new TreeMap<>();
    }

    static void runAll(List<Runnable> tasks) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (Runnable task : tasks) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }
}

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A roll-out to a bad version is rolled back, and the operator orders the next version at once,
 * while the servers of the bad one still run. Counts the requests that the bad version gets.
 */
final class StaleVersion {
    private static final int DURATION_SECONDS = 12;
    private static final int PER_SECOND = 160;
    private static final double EXPOSURE_SHARE = 0.1;
    private static final int EXPOSURE_SLACK = 50;

    /** The servers of a version that was rolled back drain some seconds later. */
    private static final long DRAIN_AFTER_MILLIS = 5_000;

    private static final long SERVERS_START_MILLIS = 200;
    private static final double FAILING_SHARE = 0.3;

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Scene scene = new Scene(Path.of(args[0]))) {
            result = play(scene);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static int play(Scene scene) throws Exception {
        Record record = scene.record;
        int[] ports = Gateway.freePorts("127.0.0.11", "127.0.0.12");
        List<Gateway> gateways =
                List.of(
                        scene.gateway("front-a-1", "a", "127.0.0.11", ports),
                        scene.gateway("front-b-1", "b", "127.0.0.12", ports));
        start(scene, "v1", 0);
        scene.store.putKeyed("keyed.op", "config", config());
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            if (!gateway.awaitReady(20_000)) {
                record.line("a gateway isn't ready");
                return 2;
            }
        }
        Store.sleep(4_000);
        Store.daemon(() -> send(scene, gateways)).start();
        Store.sleep(3_000);

        long orderedMillis = System.currentTimeMillis();
        int[] before = {record.runsAt("v2"), record.runsAt("v")};
        record.line("the operator orders v2");
        order(scene, "v2");
        Store.sleep(SERVERS_START_MILLIS);
        List<Engine> bad = start(scene, "v2", FAILING_SHARE);
        boolean rolledBack = false;
        while (!rolledBack && System.currentTimeMillis() < orderedMillis + DURATION_SECONDS * 1_000L) {
            rolledBack = scene.store.texts("keyed.status").stream().anyMatch(text -> text.contains("rolled_back"));
            Store.sleep(20);
        }
        if (!rolledBack) {
            record.line("v2 was not rolled back in time");
            return 2;
        }
        record.line("v2 is rolled back, it got " + (record.runsAt("v2") - before[0]) + " requests");
        Store.daemon(
                        () -> {
                            Store.sleep(DRAIN_AFTER_MILLIS);
                            record.line("the servers of v2 drain");
                            bad.forEach(Engine::drain);
                        })
                .start();
        if (scene.trouble) {
            Store.sleep(300);
            record.line("the operator orders v3");
            order(scene, "v3");
            Store.sleep(SERVERS_START_MILLIS);
            start(scene, "v3", 0);
        }
        Store.sleep(Math.max(0, orderedMillis + DURATION_SECONDS * 1_000L - System.currentTimeMillis()));
        int ofBad = record.runsAt("v2") - before[0];
        int all = record.runsAt("v") - before[1];
        double most = EXPOSURE_SHARE * all + EXPOSURE_SLACK;
        record.line(
                "between the order for v2 and its deadline, v2 ran " + ofBad + " of " + all
                        + " requests, allowed are " + (int) most);
        boolean broken = ofBad > most;
        record.line(broken ? "RULE BROKEN" : "rule held");
        System.out.println("bad version ran " + ofBad + " of " + all + ", allowed " + (int) most);
        return broken ? 1 : 0;
    }

    private static List<Engine> start(Scene scene, String version, double failingShare) throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Engine engine = new Engine("i-" + version + "-" + i, "app", "127.0.0.1", 32, scene.store, scene.record);
            engine.version = version;
            engine.failingShare = failingShare;
            engine.register(i % 2 == 0 ? "a" : "b");
            engines.add(engine);
        }
        return engines;
    }

    private static void order(Scene scene, String version) {
        scene.store.putKeyed(
                "keyed.op",
                "rollout/app",
                "{\"service\":\"app\",\"target\":\"" + version + "\",\"durationS\":" + DURATION_SECONDS + "}");
    }

    private static void send(Scene scene, List<Gateway> gateways) {
        long startMillis = System.currentTimeMillis();
        for (int i = 0; ; i++) {
            Gateway gateway = gateways.get(i % gateways.size());
            String id = String.format("%016x", 0x700000 + i);
            String head =
                    "POST /app/1-20 HTTP/1.1\r\nHost: ropes.example\r\nRequest-Id: " + id
                            + "\r\nDeadline-Ms: 3000\r\nX-Api-Key: key-of-ropes\r\nContent-Length: 4\r\n\r\nbody";
            new Caller(gateway.ip, gateway.frontPort, id, head, scene.record).start();
            Store.sleep(Math.max(0, startMillis + (i + 1) * 1_000L / PER_SECOND - System.currentTimeMillis()));
        }
    }

    private static String config() {
        return """
                {"version": 3,
                 "routes": [
                  {"name": "r-app", "host": "ropes.example", "pathPrefix": "/app/", "kind": "unsafe",
                   "timeoutMs": 1500, "targetLatencyMs": 386, "priority": 2, "service": "app",
                   "maxAttempts": 1, "public": false}],
                 "services": [
                  {"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000},
                 "tenants": [
                  {"name": "ropes", "apiKeys": ["key-of-ropes"], "priority": 2, "prepaid": 4024320}]}
                """;
    }
}

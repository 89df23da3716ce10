import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator takes away the keys of the only tenant, as after a leak. Checks that no server runs
 * a request with a key that was taken away, or with one that no configuration ever held.
 */
final class LastKey {
    private static final int CONFIG_MILLIS = 2_000;
    private static final int REQUESTS = 10;

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
        int[] ports = Gateway.freePorts("127.0.0.11");
        Gateway gateway = scene.gateway("front-a-1", "a", "127.0.0.11", ports);
        new Engine("i-1", "app", "127.0.0.1", 64, scene.store, record).register("a");
        scene.store.putKeyed("keyed.op", "config", config(3, "\"key-one\",\"key-two\"", ""));
        gateway.start();
        if (!gateway.awaitReady(20_000)) {
            record.line("the gateway isn't ready");
            return 2;
        }
        Store.sleep(4_000);
        List<Caller> known = send(scene, gateway, "key-one", 0x100);
        List<Caller> unknown = send(scene, gateway, "key-that-no-configuration-held", 0x200);
        if (runs(record, known) < REQUESTS) {
            record.line("requests with a key aren't served");
            return 2;
        }
        int stranger = runs(record, unknown);

        if (scene.trouble) {
            record.line("the operator writes version 5: the tenant has no key any more");
            scene.store.putKeyed("keyed.op", "config", config(5, "", ""));
        } else {
            record.line("the operator writes version 5: one more route");
            scene.store.putKeyed("keyed.op", "config", config(5, "\"key-one\",\"key-two\"", IDLE_ROUTE));
        }
        Store.sleep(CONFIG_MILLIS + 3_000);

        List<Caller> later = send(scene, gateway, "key-one", 0x300);
        List<Caller> laterUnknown = send(scene, gateway, "key-that-no-configuration-held", 0x400);
        int revoked = scene.trouble ? runs(record, later) : 0;
        stranger += runs(record, laterUnknown);
        record.line(
                "run with a key that was taken away over " + (CONFIG_MILLIS + 3_000) + " ms before: "
                        + revoked + " of " + REQUESTS
                        + "; run with a key that no configuration ever held: " + stranger + " of "
                        + 2 * REQUESTS);
        boolean broken = revoked > 0 || stranger > 0;
        record.line(broken ? "RULE BROKEN" : "rule held");
        System.out.println("revoked key ran " + revoked + ", unknown key ran " + stranger);
        return broken ? 1 : 0;
    }

    private static List<Caller> send(Scene scene, Gateway gateway, String key, int firstId) {
        List<Caller> calls = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("%016x", firstId + i);
            String head =
                    "POST /app/1-20 HTTP/1.1\r\nHost: ropes.example\r\nRequest-Id: " + id
                            + "\r\nDeadline-Ms: 3000\r\nX-Api-Key: " + key
                            + "\r\nContent-Length: 4\r\n\r\nbody";
            calls.add(new Caller(gateway.ip, gateway.frontPort, id, head, scene.record).start());
            Store.sleep(50);
        }
        Store.sleep(2_000);
        return calls;
    }

    private static int runs(Record record, List<Caller> calls) {
        int runs = 0;
        for (Caller call : calls) {
            runs += Math.min(1, record.runs(call.id));
        }
        return runs;
    }

    private static final String IDLE_ROUTE =
            """
            , {"name": "r-idle", "host": "ropes.example", "pathPrefix": "/idle/", "kind": "unsafe",
               "timeoutMs": 1500, "targetLatencyMs": 386, "priority": 2, "service": "app",
               "maxAttempts": 1, "public": false}""";

    private static String config(int version, String keys, String moreRoutes) {
        return """
                {"version": %d,
                 "routes": [
                  {"name": "r-app", "host": "ropes.example", "pathPrefix": "/app/", "kind": "unsafe",
                   "timeoutMs": 1500, "targetLatencyMs": 386, "priority": 2, "service": "app",
                   "maxAttempts": 1, "public": false}%s],
                 "services": [
                  {"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000},
                 "tenants": [{"name": "ropes", "apiKeys": [%s], "priority": 2, "prepaid": 4024320}]}
                """
                .formatted(version, moreRoutes, keys);
    }
}

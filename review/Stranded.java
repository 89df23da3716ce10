import java.nio.file.Path;
import java.util.List;

/**
 * All processes are killed four times, and started again. Checks that from 12 s after the last
 * start a quarter of the requests is served, of those that fit into the tenant's prepaid tokens.
 */
final class Stranded {
    private static final int PREPAID = 1_080_000;
    private static final int IN = 2_000;
    private static final int STRIDE = 4;
    private static final int EVENTS = 10;
    private static final int OUT = EVENTS * STRIDE;
    private static final int PER_SECOND = 12;
    private static final long KILL_EVERY_MILLIS = 6_000;
    private static final int KILLS = 4;
    private static final long DOWN_MILLIS = 500;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long WINDOW_MILLIS = 5_000;

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
        for (int i = 1; i <= 2; i++) {
            new Engine("i-" + i, "llm", "127.0.0.1", 256, scene.store, record).register(i == 1 ? "a" : "b");
        }
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
        Store.sleep(3_000);
        Store.daemon(() -> send(scene, gateways)).start();
        long lastKillMillis = 0;
        for (int kill = 0; kill < KILLS; kill++) {
            Store.sleep(KILL_EVERY_MILLIS);
            lastKillMillis = System.currentTimeMillis();
            if (scene.trouble) {
                record.line("all processes are killed");
                for (Gateway gateway : gateways) {
                    gateway.kill();
                }
                Store.sleep(DOWN_MILLIS);
                for (Gateway gateway : gateways) {
                    gateway.start();
                }
                record.line("all processes are started again");
            }
        }
        long backMillis = System.currentTimeMillis();
        Store.sleep(RECOVERY_MILLIS + WINDOW_MILLIS + 4_000);

        int sentBefore = 0;
        int servedBefore = 0;
        int sentLater = 0;
        int servedLater = 0;
        long spent = 0;
        for (Caller call : scene.calls) {
            boolean served = call.status == 200 && call.complete && call.events == EVENTS;
            boolean isOwed = spent + IN + OUT <= PREPAID * 0.97;
            if (call.sentMillis < lastKillMillis) {
                sentBefore++;
                servedBefore += served ? 1 : 0;
            }
            boolean isLater =
                    call.sentMillis >= backMillis + RECOVERY_MILLIS
                            && call.sentMillis < backMillis + RECOVERY_MILLIS + WINDOW_MILLIS;
            if (isLater && isOwed) {
                sentLater++;
                servedLater += served ? 1 : 0;
            }
            if (record.runs(call.id) > 0) {
                // The most that it can have got, whether or not the events arrived.
                spent += IN + OUT;
            }
        }
        record.line(
                "served before the last kill " + servedBefore + " of " + sentBefore + ", from 12 s after the start "
                        + servedLater + " of " + sentLater + " that fit; servers ran at most " + spent
                        + " of " + PREPAID + " tokens");
        boolean broken = servedBefore * 4 >= sentBefore && sentLater > 0 && servedLater * 4 < sentLater;
        record.line(broken ? "RULE BROKEN" : "rule held");
        System.out.println(
                "before " + servedBefore + " of " + sentBefore + ", later " + servedLater + " of " + sentLater
                        + ", ran " + spent + " of " + PREPAID);
        return sentLater == 0 ? 2 : broken ? 1 : 0;
    }

    private static void send(Scene scene, List<Gateway> gateways) {
        long startMillis = System.currentTimeMillis();
        for (int i = 0; ; i++) {
            String id = String.format("%016x", 0x900000 + i);
            scene.stream(gateways.get(i % 2), id, "/long/" + EVENTS + "-30", IN, OUT, 5_000);
            Store.sleep(Math.max(0, startMillis + (i + 1) * 1_000L / PER_SECOND - System.currentTimeMillis()));
        }
    }

    private static String config() {
        return """
                {"version": 3,
                 "routes": [
                  {"name": "r-long", "host": "ropes.example", "pathPrefix": "/long/", "kind": "streaming",
                   "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1, "service": "llm",
                   "maxAttempts": 1, "public": false, "sticky": true, "resumable": false,
                   "gapTargetMs": 250}],
                 "services": [
                  {"name": "llm", "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false,
                   "engine": {"slots": 256, "kvCapacity": 2000000, "kvTokenBytes": 35136, "stride": %d,
                    "most": 12, "handleS": 5.0, "models": [{"name": "m"}]}}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000},
                 "tenants": [
                  {"name": "ropes", "apiKeys": ["key-of-ropes"], "priority": 1, "prepaid": %d}]}
                """
                .formatted(STRIDE, PREPAID);
    }
}

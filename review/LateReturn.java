import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process is killed while its append is on its way; the store does the append some seconds
 * later, when the process has been started again. Counts what a tenant consumes of its prepaid
 * tokens.
 */
final class LateReturn {
    private static final int PREPAID = 1_000_000;
    private static final int IN = 2_000;
    private static final int STRIDE = 4;
    private static final int EVENTS = 10;
    private static final int OUT = EVENTS * STRIDE;

    /** Strikes when a holder gives back so much that its late append exceeds what it left unused. */
    private static final int SMALLEST_EXCESS = 24_000;

    private static final int STREAMS = 100;

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
        Gateway first = scene.gateway("front-a-1", "a", "127.0.0.11", ports);
        Gateway second = scene.gateway("front-b-1", "b", "127.0.0.12", ports);
        for (int i = 1; i <= 2; i++) {
            new Engine("i-" + i, "llm", "127.0.0.1", 256, scene.store, record).register(i == 1 ? "a" : "b");
        }
        scene.store.putKeyed("keyed.op", "config", config());
        first.start();
        second.start();
        if (!first.awaitReady(20_000) || !second.awaitReady(20_000)) {
            record.line("a gateway isn't ready");
            return 2;
        }
        Store.sleep(3_000);

        Books books = new Books();
        AtomicBoolean held = new AtomicBoolean();
        CountDownLatch returning = new CountDownLatch(1);
        CountDownLatch lateDone = new CountDownLatch(1);
        scene.store.setFault(
                (topic, body, ip) -> {
                    long back = books.read(new String(body, StandardCharsets.ISO_8859_1));
                    long used = (long) running(scene) * (IN + OUT);
                    long over = back == 0 ? 0 : used + back - (books.open + back) / 2;
                    if (back > 1_000) {
                        record.line(
                                "store: an append gives back " + back + " tokens of "
                                        + (books.open + back) + ", used are some " + used);
                    }
                    if (over >= SMALLEST_EXCESS && held.compareAndSet(false, true)) {
                        returning.countDown();
                        if (scene.trouble) {
                            record.line("store: that append is not answered, it is done in 5 s");
                            return Store.Fate.LATE;
                        }
                    }
                    return Store.Fate.DONE;
                },
                5_000,
                () -> {
                    record.line("store: the late append is done");
                    lateDone.countDown();
                });

        // Many long answers begin at one gateway, which takes tokens for as many again. Their number
        // then stays the same, so that it soon gives some of these back.
        int sent = 0;
        for (int round = 0; round < 5 && running(scene) < STREAMS; round++) {
            for (int missing = STREAMS - running(scene); missing > 0; missing--) {
                scene.stream(
                        first, "b" + hex(sent++), "/long/" + EVENTS + "-1500", IN, OUT, 15_000);
                Store.sleep(10);
            }
            Store.sleep(600);
        }
        record.line("long answers under way: " + running(scene));
        // A few short requests go on, so that the process has something to append.
        for (int i = 0; i < 60 && !returning.await(200, TimeUnit.MILLISECONDS); i++) {
            scene.stream(first, "d" + hex(i), "/long/1-10", 200, STRIDE, 5_000);
        }
        if (returning.getCount() > 0 && scene.trouble) {
            record.line("no append gave back enough tokens");
            return 2;
        }
        if (scene.trouble) {
            first.kill();
            record.line("killed front-a-1");
            Store.sleep(300);
            first.start();
            record.line("started front-a-1 again");
            lateDone.await(10, TimeUnit.SECONDS);
        }
        first.awaitReady(10_000);
        // The rest of the budget is used up at both gateways.
        for (int round = 0; round < 48; round++) {
            for (int i = 0; i < 14; i++) {
                Gateway to = i % 2 == 0 ? first : second;
                scene.stream(to, "c" + hex(round * 16 + i), "/long/" + EVENTS + "-20", IN, OUT, 5_000);
            }
            Store.sleep(600);
        }
        Store.sleep(4_000);

        long spent = 0;
        long served = 0;
        for (Caller call : scene.calls) {
            if (scene.record.runs(call.id) > 0 && call.events > 0) {
                spent += call.in + (long) call.events * STRIDE;
                served++;
            }
        }
        record.line(
                "consumed by " + served + " requests: " + spent + " of prepaid " + PREPAID
                        + (spent > PREPAID ? " RULE BROKEN" : " rule held"));
        System.out.println("consumed " + spent + " of prepaid " + PREPAID);
        return spent > PREPAID ? 1 : 0;
    }

    private static int running(Scene scene) {
        int running = 0;
        for (Caller call : scene.calls) {
            boolean isLong = call.in == IN && !call.complete;
            running += isLong && (call.status == 200 || call.status == 0) ? 1 : 0;
        }
        return running;
    }

    private static String hex(int number) {
        return String.format("%015x", 0x100000 + number);
    }

    private static String config() {
        return """
                {"version": 3,
                 "routes": [
                  {"name": "r-long", "host": "ropes.example", "pathPrefix": "/long/", "kind": "streaming",
                   "timeoutMs": 15000, "targetLatencyMs": 500, "priority": 1, "service": "llm",
                   "maxAttempts": 1, "public": false, "sticky": true, "resumable": false,
                   "gapTargetMs": 1000}],
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

    /** Follows the tokens that the first gateway holds, in the appends that reach the store. */
    private static final class Books {
        private static final Pattern RECORD =
                Pattern.compile(
                        "\"s\":(\\d+),\"r\":\\{[^{}]*?\"(GrantAsked|UsageSummed|GrantReturned)\"[^{}]*\\}");
        private static final Pattern TOKENS = Pattern.compile("\"tokens\":(\\d+)");
        private final Set<String> seen = new HashSet<>();
        volatile long open;

        /** Reads an append, each record once; returns the tokens that it gives back. */
        synchronized long read(String body) {
            long returned = 0;
            Matcher records = RECORD.matcher(body);
            while (records.find()) {
                Matcher tokens = TOKENS.matcher(records.group());
                boolean ofFirst = records.group().contains("front-a-1") && tokens.find();
                if (ofFirst && seen.add(records.group(1))) {
                    long count = Long.parseLong(tokens.group(1));
                    open += records.group(2).equals("GrantAsked") ? count : -count;
                    returned += records.group(2).equals("GrantReturned") ? count : 0;
                }
            }
            return returned;
        }
    }
}

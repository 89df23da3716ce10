import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some requesters send long bodies, within the operator's limit, at a few hundred KB a second
 * each. Meanwhile others send short requests at a steady rate. Checks that the short requests that
 * outlast their route's timeoutMs have a final answer half a second later.
 */
final class LongBodies {
    private static final int BODY_BYTES = 4_000_000;
    private static final int SENDING_MILLIS = 6_000;
    private static final int PIECES = 60;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int SHORT_REQUESTS = 200;
    private static final int SHORT_PAUSE_MILLIS = 100;

    public static void main(String[] args) throws Exception {
        int result = 2;
        int senders = Integer.parseInt(args[1]);
        try (Scene scene = new Scene(Path.of(args[0]))) {
            result = play(scene, senders);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static int play(Scene scene, int senders) throws Exception {
        Record record = scene.record;
        int[] ports = Gateway.freePorts("127.0.0.11");
        Gateway gateway = scene.gateway("front-a-1", "a", "127.0.0.11", ports);
        new Engine("i-1", "app", "127.0.0.1", 64, scene.store, record).register("a");
        scene.store.putKeyed("keyed.op", "config", config());
        gateway.start();
        if (!gateway.awaitReady(20_000)) {
            record.line("the gateway isn't ready");
            return 2;
        }
        Store.sleep(3_000);
        AtomicInteger longAnswers = new AtomicInteger();
        if (scene.trouble) {
            for (int i = 0; i < senders; i++) {
                String id = String.format("%016x", 0xb0d10000 + i);
                Store.daemon(() -> sendLong(gateway, id, record, longAnswers)).start();
            }
        }
        List<Short> calls = new ArrayList<>();
        for (int i = 0; i < SHORT_REQUESTS; i++) {
            Short call = new Short(gateway, String.format("%016x", 0x500000 + i), record);
            calls.add(call);
            Store.daemon(call::run).start();
            Store.sleep(SHORT_PAUSE_MILLIS);
            if (i % 10 == 0) {
                record.line("ready=" + gateway.isReady() + " alive=" + gateway.isAlive());
            }
        }
        Store.sleep(4_000);
        int answered = 0;
        int overTimeout = 0;
        int overByHalf = 0;
        for (Short call : calls) {
            long millis = call.millis;
            if (millis >= 0 && millis <= TIMEOUT_MILLIS) {
                answered++;
            } else {
                overTimeout++;
                if (millis < 0 || millis > TIMEOUT_MILLIS + 500) {
                    overByHalf++;
                }
            }
        }
        record.line(
                "long bodies answered: " + longAnswers + "; short requests: " + answered
                        + " answered in time, " + overTimeout + " unanswered at timeoutMs, "
                        + overByHalf + " of them 500 ms later; ready=" + gateway.isReady()
                        + " alive=" + gateway.isAlive());
        boolean broken = overByHalf >= 8 && overByHalf * 2 > overTimeout;
        record.line(broken ? "RULE BROKEN" : "rule held");
        System.out.println(
                answered + " short requests in time, " + overTimeout + " over timeoutMs, " + overByHalf
                        + " over it by 500 ms");
        return broken ? 1 : 0;
    }

    private static void sendLong(Gateway gateway, String id, Record record, AtomicInteger answers) {
        record.line("sending " + id + ", a body of " + BODY_BYTES + " bytes");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.frontPort), 1_000);
            socket.setSoTimeout(16_000);
            OutputStream out = socket.getOutputStream();
            out.write(head(id, "/app/1-20", 15_000, BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1));
            byte[] piece = new byte[BODY_BYTES / PIECES + 1];
            for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
                out.write(piece, 0, Math.min(piece.length, BODY_BYTES - sent));
                out.flush();
                Store.sleep(SENDING_MILLIS / PIECES);
            }
            record.line("sent " + id);
            String status = firstLine(socket.getInputStream());
            answers.incrementAndGet();
            record.line("answered " + id + " " + status);
        } catch (IOException broken) {
            record.line("broken " + id + " " + broken);
        }
    }

    private static String head(String id, String path, int deadline, int bytes) {
        return "POST " + path + " HTTP/1.1\r\nHost: ropes.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + deadline + "\r\nX-Api-Key: key-of-ropes\r\nContent-Length: "
                + bytes + "\r\n\r\n";
    }

    private static String firstLine(InputStream stream) throws IOException {
        InputStream in = new BufferedInputStream(stream);
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\r'; next = in.read()) {
            if (next < 0) {
                throw new IOException("connection ended");
            }
            line.append((char) next);
        }
        return line.toString();
    }

    /** A short request on a connection of its own. */
    private static final class Short {
        private final Gateway gateway;
        private final String id;
        private final Record record;

        /** The time to the first line of the answer, or to the end of the connection. */
        volatile long millis = -1;

        Short(Gateway gateway, String id, Record record) {
            this.gateway = gateway;
            this.id = id;
            this.record = record;
        }

        void run() {
            long start = System.currentTimeMillis();
            record.line("sent " + id);
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(gateway.ip, gateway.frontPort), 1_000);
                socket.setSoTimeout(3_000);
                socket.getOutputStream()
                        .write((head(id, "/app/1-20", 3_000, 4) + "body").getBytes(StandardCharsets.ISO_8859_1));
                String status = firstLine(socket.getInputStream());
                millis = System.currentTimeMillis() - start;
                record.line("answered " + id + " " + status + " after " + millis + " ms");
            } catch (IOException broken) {
                record.line("no answer " + id + " " + broken);
            }
        }
    }

    private static String config() {
        return """
                {"version": 3,
                 "routes": [
                  {"name": "r-app", "host": "ropes.example", "pathPrefix": "/app/", "kind": "unsafe",
                   "timeoutMs": %d, "targetLatencyMs": 386, "priority": 2, "service": "app",
                   "maxAttempts": 1, "public": false}],
                 "services": [
                  {"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000},
                 "tenants": [
                  {"name": "ropes", "apiKeys": ["key-of-ropes"], "priority": 2}]}
                """
                .formatted(TIMEOUT_MILLIS);
    }
}

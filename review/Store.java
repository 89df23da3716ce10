import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stands in for the platform's store: topics with one partition, which lose nothing that was
 * acknowledged. A fault decides what becomes of each append.
 */
final class Store {
    /** Says what becomes of an append. */
    enum Fate {
        /** Done and answered. */
        DONE,
        /** Not answered, and done some seconds later. */
        LATE
    }

    /** Decides on an append. */
    interface Fault {
        Fate of(String topic, byte[] body, String callerIp);
    }

    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final HttpServer server;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, Store::daemon);
    private volatile Fault fault = (topic, body, ip) -> Fate.DONE;
    private volatile long lateMillis = 5_000;
    private volatile Runnable onLateDone = () -> {};

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        server.createContext("/log-append", call -> guard(call, this::append));
        server.createContext("/log-read", call -> guard(call, this::read));
        server.createContext("/log-newest", call -> guard(call, this::newest));
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    void setFault(Fault newFault, long newLateMillis, Runnable newOnLateDone) {
        lateMillis = newLateMillis;
        onLateDone = newOnLateDone;
        fault = newFault;
    }

    void putKeyed(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        add(topic, List.of(record.array()));
    }

    /** Returns the texts of all records of a topic of the system's own. */
    synchronized List<String> texts(String topic) {
        List<String> texts = new ArrayList<>();
        for (byte[] record : topics.getOrDefault(topic, List.of())) {
            texts.add(new String(record, StandardCharsets.UTF_8));
        }
        return texts;
    }

    private synchronized long add(String topic, List<byte[]> records) {
        List<byte[]> log = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        long offset = log.size();
        log.addAll(records);
        notifyAll();
        return offset;
    }

    private void append(HttpExchange call) throws IOException {
        String topic = query(call, "topic", "");
        byte[] body = call.getRequestBody().readAllBytes();
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.remaining() >= 4) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            records.add(record);
        }
        String ip = call.getRemoteAddress().getAddress().getHostAddress();
        if (fault.of(topic, body, ip) == Fate.LATE) {
            timer.schedule(
                    () -> {
                        add(topic, records);
                        onLateDone.run();
                    },
                    lateMillis,
                    TimeUnit.MILLISECONDS);
            // The connection returns nothing further.
            sleep(60_000);
            return;
        }
        sleep(4);
        long offset = add(topic, records);
        answer(
                call,
                200,
                "{\"offset\":" + offset + ",\"endOffset\":" + (offset + records.size()) + "}");
    }

    private void read(HttpExchange call) throws IOException {
        String topic = query(call, "topic", "");
        int from = Integer.parseInt(query(call, "from", "0"));
        long maxBytes = 1024L * Long.parseLong(query(call, "maxKb", "1024"));
        long endMillis = System.currentTimeMillis() + Long.parseLong(query(call, "waitMs", "0"));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            List<byte[]> log = topics.computeIfAbsent(topic, name -> new ArrayList<>());
            while (log.size() <= from && System.currentTimeMillis() < endMillis) {
                waitMillis(Math.max(1, endMillis - System.currentTimeMillis()));
            }
            out.write(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
            for (int i = from; i < log.size() && out.size() < maxBytes; i++) {
                out.write(ByteBuffer.allocate(4).putInt(log.get(i).length).array());
                out.write(log.get(i));
            }
        }
        sleep(4);
        call.sendResponseHeaders(200, out.size());
        call.getResponseBody().write(out.toByteArray());
        call.close();
    }

    private void newest(HttpExchange call) throws IOException {
        String topic = query(call, "topic", "");
        Map<String, String> items = new LinkedHashMap<>();
        int end;
        synchronized (this) {
            List<byte[]> log = topics.computeIfAbsent(topic, name -> new ArrayList<>());
            end = log.size();
            for (int offset = 0; offset < end; offset++) {
                byte[] record = log.get(offset);
                int start = 1 + Byte.toUnsignedInt(record[0]);
                String key = new String(record, 1, start - 1, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
                items.remove(key);
                if (value.length > 0) {
                    items.put(
                            key,
                            "{\"key\":\"" + key + "\",\"value\":\""
                                    + Base64.getEncoder().encodeToString(value)
                                    + "\",\"offset\":" + offset + "}");
                }
            }
        }
        sleep(4);
        answer(
                call,
                200,
                "{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"endOffset\":"
                        + end + "}");
    }

    private interface Handler {
        void handle(HttpExchange call) throws IOException;
    }

    private static void guard(HttpExchange call, Handler handler) {
        try {
            handler.handle(call);
        } catch (IOException | RuntimeException failure) {
            call.close();
        }
    }

    private static void answer(HttpExchange call, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private static String query(HttpExchange call, String name, String valueIfAbsent) {
        for (String part : call.getRequestURI().getQuery().split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return valueIfAbsent;
    }

    private void waitMillis(long millis) {
        try {
            wait(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }
}

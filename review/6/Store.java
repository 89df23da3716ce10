import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): topics with one
 * partition, reads that wait, the newest value of each key, and the limits on the bytes of a record
 * and of a call. It can be away, and come back from a copy some seconds old (`Store-Era`).
 */
final class Store {
    static final int RECORD_BYTES = 262_144;
    static final int CALL_BYTES = 2_097_152;
    private static final int PAGE_KEYS = 500;

    private record Entry(long atMillis, byte[] bytes) {}

    private final HttpServer server;
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Consumer<String> log;
    private long era;
    private boolean away;
    private volatile double lostShare;
    private volatile long keepMillis = 300_000;
    private long refusedForSize;

    Store(Consumer<String> log) throws IOException {
        this.log = log;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    /** Returns how many appends were refused because of a record or a call that is too large. */
    synchronized long refusedForSize() {
        return refusedForSize;
    }

    /** Writes a keyed record as the operator or a server does. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
        record.put((byte) name.length).put(name).put(text);
        add(topic, record.array());
    }

    /** Sets the time after which records expire, but for the newest ones of keyed topics. */
    void setKeepMillis(long millis) {
        keepMillis = millis;
    }

    long keepSeconds() {
        return keepMillis / 1_000;
    }

    private synchronized long firstOf(String topic) {
        List<Entry> entries = entries(topic);
        long now = System.currentTimeMillis();
        int first = 0;
        while (!topic.startsWith("keyed.")
                && first < entries.size()
                && now - entries.get(first).atMillis() > keepMillis) {
            first++;
        }
        return first;
    }

    /** Sets the share of appends that are done, at once or later, and not answered. */
    void setLostShare(double share) {
        lostShare = share;
    }

    synchronized void setAway(boolean isAway) {
        away = isAway;
        notifyAll();
    }

    /** Comes back from the copy of the given time; all that was appended later is gone. */
    synchronized void restoreAsOf(long millis) {
        era++;
        topics.values().forEach(entries -> entries.removeIf(entry -> entry.atMillis() > millis));
        notifyAll();
    }

    /** Returns the newest value of a key, or an empty text. */
    synchronized String newestValue(String topic, String key) {
        String newest = "";
        for (Entry entry : entries(topic)) {
            int valueStart = 1 + (entry.bytes()[0] & 0xff);
            String name = new String(entry.bytes(), 1, valueStart - 1, StandardCharsets.UTF_8);
            if (name.equals(key)) {
                byte[] value = Arrays.copyOfRange(entry.bytes(), valueStart, entry.bytes().length);
                newest = new String(value, StandardCharsets.UTF_8);
            }
        }
        return newest;
    }

    synchronized long endOf(String topic) {
        return entries(topic).size();
    }

    private synchronized void add(String topic, byte[] record) {
        entries(topic).add(new Entry(System.currentTimeMillis(), record));
        notifyAll();
    }

    private List<Entry> entries(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private void handle(HttpExchange call) throws IOException {
        try {
            byte[] body = call.getRequestBody().readAllBytes();
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            if (isAway()) {
                answer(call, 503, "{}");
                return;
            }
            switch (call.getRequestURI().getPath()) {
                case "/log-append" -> append(call, query, body);
                case "/log-read" -> read(call, query);
                case "/log-newest" -> newest(call, query);
                default -> answer(call, 404, "{}");
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            call.close();
        }
    }

    private synchronized boolean isAway() {
        return away;
    }

    private void append(HttpExchange call, Map<String, String> query, byte[] body)
            throws IOException {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer frames = ByteBuffer.wrap(body);
        int largest = 0;
        while (frames.remaining() >= 4) {
            byte[] record = new byte[frames.getInt()];
            frames.get(record);
            records.add(record);
            largest = Math.max(largest, record.length);
        }
        if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
            synchronized (this) {
                refusedForSize++;
            }
            log.accept(
                    "store: append to " + query.get("topic") + " refused with 413, largest record "
                            + largest + " bytes of at most " + RECORD_BYTES);
            answer(call, 413, "{\"reason\":\"size\"}");
            return;
        }
        if (Math.random() < lostShare) {
            loseAnswer(call, query.get("topic"), records);
            return;
        }
        long offset;
        long end;
        synchronized (this) {
            offset = endOf(query.get("topic"));
            records.forEach(record -> add(query.get("topic"), record));
            end = endOf(query.get("topic"));
        }
        answer(call, 200, "{\"offset\":" + offset + ",\"endOffset\":" + end + "}");
    }

    /** Does not answer; the records are appended now, or up to 6 s later. */
    private void loseAnswer(HttpExchange call, String topic, List<byte[]> records) {
        long delayMillis = Math.random() < 0.5 ? 0 : 1_000 + (long) (Math.random() * 5_000);
        Back.daemon(
                () -> {
                    try {
                        Thread.sleep(delayMillis);
                        synchronized (this) {
                            records.forEach(record -> add(topic, record));
                        }
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                });
        call.close();
    }

    private void read(HttpExchange call, Map<String, String> query)
            throws IOException, InterruptedException {
        long from = Long.parseLong(query.get("from"));
        long until =
                System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        int maxBytes = Integer.parseInt(query.getOrDefault("maxKb", "1024")) * 1024;
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        long first;
        synchronized (this) {
            first = firstOf(query.get("topic"));
            long eraAtStart = era;
            long waitMillis = until - System.currentTimeMillis();
            while (from == endOf(query.get("topic")) && waitMillis > 0 && !away && era == eraAtStart) {
                wait(waitMillis);
                waitMillis = until - System.currentTimeMillis();
            }
            List<Entry> entries = entries(query.get("topic"));
            if (!away && from >= first && from <= entries.size()) {
                page.writeBytes(ByteBuffer.allocate(16).putLong(entries.size()).putLong(first).array());
                for (int i = (int) from; i < entries.size() && page.size() < maxBytes; i++) {
                    byte[] record = entries.get(i).bytes();
                    page.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                    page.writeBytes(record);
                }
            }
        }
        if (isAway()) {
            answer(call, 503, "{}");
        } else if (page.size() == 0) {
            answer(call, 410, "{\"firstOffset\":" + first + "}");
        } else {
            answer(call, 200, page.toByteArray());
        }
    }

    private void newest(HttpExchange call, Map<String, String> query) throws IOException {
        Map<String, String> items = new LinkedHashMap<>();
        long end;
        synchronized (this) {
            List<Entry> entries = entries(query.get("topic"));
            end = entries.size();
            for (int i = 0; i < entries.size(); i++) {
                byte[] record = entries.get(i).bytes();
                int valueStart = 1 + (record[0] & 0xff);
                String key = new String(record, 1, valueStart - 1, StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(record, valueStart, record.length);
                items.remove(key);
                if (value.length > 0) {
                    items.put(
                            key,
                            "{\"key\":" + quote(key) + ",\"value\":\""
                                    + Base64.getEncoder().encodeToString(value)
                                    + "\",\"offset\":" + i + "}");
                }
            }
        }
        List<String> keys = items.keySet().stream().sorted()
                .filter(key -> key.compareTo(query.getOrDefault("after", "")) > 0).toList();
        List<String> page = keys.stream().limit(PAGE_KEYS).map(items::get).toList();
        answer(
                call,
                200,
                "{\"items\":[" + String.join(",", page) + "],\"hasMore\":"
                        + (keys.size() > PAGE_KEYS) + ",\"endOffset\":" + end + "}");
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private void answer(HttpExchange call, int status, String text) throws IOException {
        answer(call, status, text.getBytes(StandardCharsets.UTF_8));
    }

    private void answer(HttpExchange call, int status, byte[] body) throws IOException {
        synchronized (this) {
            call.getResponseHeaders().set("Store-Era", Long.toString(era));
        }
        call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        call.getResponseBody().write(body);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : (raw == null ? "" : raw).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}

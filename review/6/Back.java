import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a server: registers in the store, and runs one request at a time on a channel. */
class Back {
    final String id;
    final Record record;
    private final Store store;
    private final String service;
    private final String zone;
    private final String version;
    private final int slots;
    private volatile ServerSocket listener;
    private volatile long bornMillis = System.currentTimeMillis();
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;
    private volatile String state = "ready";
    private long seq;

    /** Holds a request as it was read. */
    record Request(String line, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("request-id", "");
        }

        String path() {
            return line.split(" ")[1];
        }
    }

    Back(Store store, Record record, String id, String service, String zone, String version, int slots)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.slots = slots;
        this.listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        daemon(this::accept);
        daemon(this::ping);
    }

    int port() {
        return listener.getLocalPort();
    }

    void setState(String newState) {
        state = newState;
        register();
    }

    /** Answers a request; the standard answer is a short body with the seal. */
    void run(Request request, OutputStream out) throws IOException, InterruptedException {
        answer(out, request, 200, "done " + request.id(), "");
    }

    /** Ends the server as a crash does: closes its port and all channels. */
    void stop() {
        stopped = true;
        closeQuietly(listener);
        channels.forEach(Back::closeQuietly);
    }

    /** Crashes, and is back at the same address some seconds later. */
    void crash(long downMillis) throws IOException, InterruptedException {
        int port = port();
        stop();
        Thread.sleep(downMillis);
        ServerSocket again = new ServerSocket();
        again.setReuseAddress(true);
        again.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        listener = again;
        bornMillis = System.currentTimeMillis();
        stopped = false;
        daemon(this::accept);
        daemon(this::ping);
    }

    boolean isStopped() {
        return stopped;
    }

    void removeEntry() {
        store.put("keyed.servers", id, "");
    }

    /** Writes the entry to the store again, as each ping does. */
    final synchronized void register() {
        seq++;
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version + "\",\"slots\":"
                        + slots + ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"seq\":" + seq
                        + ",\"born\":" + bornMillis + "}");
    }

    static void answer(OutputStream out, Request request, int status, String body, String more)
            throws IOException {
        write(
                out,
                "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.id()
                        + "\r\nServer-Seal: seal-" + request.id() + "\r\n" + more
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void ping() {
        try {
            while (!stopped) {
                register();
                Thread.sleep(1_200);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        try {
            while (!stopped) {
                Socket channel = listener.accept();
                channel.setTcpNoDelay(true);
                channels.add(channel);
                daemon(() -> serve(channel));
            }
        } catch (IOException closed) {
            // The server has ended.
        }
    }

    private void serve(Socket channel) {
        try {
            InputStream in = new BufferedInputStream(channel.getInputStream());
            while (!stopped) {
                String line = Http.line(in);
                Map<String, String> headers = Http.headers(in);
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                    Http.readChunks(in, body);
                } else {
                    body.writeBytes(
                            in.readNBytes(
                                    Integer.parseInt(headers.getOrDefault("content-length", "0"))));
                }
                Request request = new Request(line, headers, body.toByteArray());
                record.note(id + " runs " + request.id() + " " + line);
                run(request, channel.getOutputStream());
                if (headers.getOrDefault("connection", "").equalsIgnoreCase("close")) {
                    break;
                }
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has left, or the server has ended.
        } finally {
            channels.remove(channel);
            closeQuietly(channel);
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(java.io.Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }
}

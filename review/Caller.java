import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Sends one request on a connection of its own and reads the answer as it arrives. */
final class Caller {
    final String id;
    int in;
    volatile long sentMillis;
    volatile int status;
    volatile int events;
    volatile boolean complete;
    volatile Map<String, String> headers = new HashMap<>();
    private final String ip;
    private final int port;
    private final String head;
    private final Record record;

    Caller(String ip, int port, String id, String head, Record record) {
        this.ip = ip;
        this.port = port;
        this.id = id;
        this.head = head;
        this.record = record;
    }

    /** Returns the head of a request to a streaming route. */
    static String streamHead(
            String id, String path, String key, int in, int out, String prefix, long deadline) {
        return "POST " + path + " HTTP/1.1\r\nHost: ropes.example\r\nRequest-Id: " + id
                + "\r\nModel: m\r\nToken-Counts: " + in + "," + out + "\r\nPrompt-Prefix: " + prefix
                + "\r\nDeadline-Ms: " + deadline + "\r\nX-Api-Key: " + key
                + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    Caller start() {
        sentMillis = System.currentTimeMillis();
        Store.daemon(this::run).start();
        return this;
    }

    void run() {
        record.line("sent " + id + " to " + ip);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String statusLine = line(in);
            status = Integer.parseInt(statusLine.split(" ")[1]);
            Map<String, String> found = new HashMap<>();
            for (String header = line(in); !header.isEmpty(); header = line(in)) {
                int colon = header.indexOf(':');
                found.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
            }
            headers = found;
            if ("chunked".equals(found.get("transfer-encoding"))) {
                readChunks(in);
            } else {
                in.readNBytes(Integer.parseInt(found.getOrDefault("content-length", "0")));
            }
            complete = true;
        } catch (IOException | RuntimeException broken) {
            record.line("broken " + id + " " + broken);
        }
        record.line("answered " + id + " status=" + status + " events=" + events + " complete=" + complete);
    }

    private void readChunks(InputStream in) throws IOException {
        while (true) {
            int length = Integer.parseInt(line(in).trim(), 16);
            String text = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
            line(in);
            if (length == 0) {
                return;
            }
            for (int at = text.indexOf("id: "); at >= 0; at = text.indexOf("id: ", at + 1)) {
                events++;
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("connection ended");
            }
            if (next != '\r') {
                out.write(next);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}

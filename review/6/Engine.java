import java.io.IOException;
import java.io.OutputStream;

/** Stand-in of a model server: streams as many events as the request names, some ms apart. */
class Engine extends Back {
    static final int TOKENS_PER_EVENT = 4;
    private final long pauseMillis;

    Engine(Store store, Record record, String id, String service, String zone, String version,
            long pauseMillis) throws IOException {
        super(store, record, id, service, zone, version, 128);
        this.pauseMillis = pauseMillis;
    }

    @Override
    void run(Request request, OutputStream out) throws IOException, InterruptedException {
        int tokens = Integer.parseInt(request.headers().get("token-counts").split(",")[1].trim());
        int last = (tokens + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT;
        int first = 1 + Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        begin(out, request);
        for (int event = first; event <= last; event++) {
            writeEvent(out, event);
            Thread.sleep(pauseMillis);
        }
        write(out, "0\r\n\r\n");
    }

    /** Writes the head of an answer. */
    static void begin(OutputStream out, Request request) throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nServer-Seal: seal-"
                        + request.id()
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static void writeEvent(OutputStream out, int event) throws IOException {
        String text = "id: " + event + "\ndata: word\n\n";
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}

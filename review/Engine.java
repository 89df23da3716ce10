import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a server: runs each request that it gets. One that names a model is answered with
 * a stream of events, any other with a short body. The path says how: /PREFIX/EVENTS-PAUSE, with
 * the pause between events, or before the body, in ms.
 */
final class Engine {
    private final String id;
    private final String service;
    private final int slots;
    private final HttpServer server;
    private final Record record;
    private final Store store;

    /** The version of the software, as the registry entry tells it. */
    String version = "v1";

    /** The share of the requests that fail with 500, after they have run. */
    double failingShare;

    private volatile String state = "ready";
    private final AtomicInteger requests = new AtomicInteger();

    Engine(String id, String service, String ip, int slots, Store store, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.store = store;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Registers the server in the store and keeps the entry fresh. */
    void register(String zone) {
        Store.daemon(
                        () -> {
                            long born = System.currentTimeMillis();
                            for (int seq = 1; ; seq++) {
                                store.putKeyed("keyed.servers", id, entry(zone, born, seq));
                                String written = state;
                                for (int i = 0; i < 60 && written.equals(state); i++) {
                                    Store.sleep(20);
                                }
                            }
                        })
                .start();
    }

    /** Reports that the server is leaving. */
    void drain() {
        state = "draining";
    }

    private String entry(String zone, long born, int seq) {
        return "{\"service\":\"" + service + "\",\"address\":\""
                + server.getAddress().getAddress().getHostAddress() + ":"
                + server.getAddress().getPort() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"slots\":" + slots
                + ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"seq\":" + seq + ",\"born\":" + born + "}";
    }

    private void handle(HttpExchange call) {
        String request = call.getRequestHeaders().getFirst("Request-Id");
        try {
            call.getRequestBody().readAllBytes();
            String path = call.getRequestURI().getPath();
            if (path.equals("/health")) {
                call.getResponseHeaders().set("Instance-Id", id);
                call.sendResponseHeaders(200, -1);
                call.close();
                return;
            }
            String expected = call.getRequestHeaders().getFirst("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                call.sendResponseHeaders(421, -1);
                call.close();
                return;
            }
            String[] shape = path.substring(path.lastIndexOf('/') + 1).split("-");
            int events = Integer.parseInt(shape[0]);
            long pause = Long.parseLong(shape[1]);
            record.ran(request, id + " tenant=" + call.getRequestHeaders().getFirst("Tenant"));
            call.getResponseHeaders().set("Request-Id", request);
            call.getResponseHeaders().set("Server-Seal", "seal-" + id + "-" + request);
            if (call.getRequestHeaders().getFirst("Model") == null) {
                Store.sleep(pause);
                byte[] body = "done".getBytes(StandardCharsets.UTF_8);
                boolean fails = (requests.incrementAndGet() * 0.618034) % 1 < failingShare;
                call.sendResponseHeaders(fails ? 500 : 200, body.length);
                call.getResponseBody().write(body);
                call.close();
                return;
            }
            call.getResponseHeaders().set("Content-Type", "text/event-stream");
            call.sendResponseHeaders(200, 0);
            OutputStream out = call.getResponseBody();
            for (int event = 1; event <= events; event++) {
                out.write(("id: " + event + "\ndata: four tokens\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
                Store.sleep(pause);
            }
            out.close();
            call.close();
        } catch (IOException | RuntimeException broken) {
            call.close();
        }
    }
}

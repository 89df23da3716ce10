import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Holds what the scripts share: the store, the gateways, the callers' requests, the record. */
final class Scene implements AutoCloseable {
    final Record record;
    final Store store;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Caller> calls = new CopyOnWriteArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();

    Scene(Path recordFile) throws IOException {
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review");
        store = new Store("127.0.0.1");
        record.line("trouble=" + trouble);
        // Also ends the processes if this one is stopped.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endGateways));
    }

    Gateway gateway(String node, String zone, String ip, int[] ports) throws IOException {
        Gateway gateway = new Gateway(node, zone, ip, ports, store, folder);
        gateways.add(gateway);
        return gateway;
    }

    /** Sends a request to a streaming route; the path says what the engine does. */
    Caller stream(Gateway to, String id, String path, int in, int out, long deadline) {
        Caller caller =
                new Caller(
                        to.ip,
                        to.frontPort,
                        id,
                        Caller.streamHead(
                                id, path, "key-of-ropes", in, out, "5c1e07a2:100," + id + ":" + (in - 100), deadline),
                        record);
        caller.in = in;
        calls.add(caller);
        return caller.start();
    }

    @Override
    public void close() {
        endGateways();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException left) {
                // The operating system removes what is left of a temporary folder.
            }
        } else {
            System.out.println("kept " + folder);
        }
    }

    private void endGateways() {
        for (Gateway gateway : gateways) {
            gateway.end();
        }
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Writes record.txt: what was sent, answered and run, with times in ms from the start. */
final class Record {
    private final PrintWriter out;
    private final long startMillis = System.currentTimeMillis();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final List<String> servers = new ArrayList<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        out.printf("%6d %s%n", System.currentTimeMillis() - startMillis, text);
    }

    void ran(String request, String server) {
        runs.merge(request, 1, Integer::sum);
        synchronized (servers) {
            servers.add(server);
        }
        line("server " + server + " runs " + request);
    }

    /** Returns how many requests ran at servers whose id contains the text. */
    int runsAt(String text) {
        synchronized (servers) {
            return (int) servers.stream().filter(server -> server.contains("-" + text)).count();
        }
    }

    /** Returns how often servers began to run the request. */
    int runs(String request) {
        return runs.getOrDefault(request, 0);
    }
}

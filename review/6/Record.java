import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    Record(Path folder) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    synchronized void note(String line) {
        file.printf("%7d %s%n", millis(), line);
        file.flush();
    }

    /** Notes a line that matters for the verdict, and shows it. */
    synchronized void say(String line) {
        note(line);
        System.out.println(line);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}

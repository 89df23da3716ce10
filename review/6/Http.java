import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One connection of a client, which reads whole answers. */
final class Http implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    /** Holds an answer; `complete` is false if the connection ended before the end of the body. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    Http(String ip, int port, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        try {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException failed) {
            socket.close();
            throw failed;
        }
    }

    Answer send(String request) throws IOException {
        write(request);
        return read();
    }

    void write(String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads an answer; fails if the connection ends within its head. */
    Answer read() throws IOException {
        String[] statusLine = line(in).split(" ", 3);
        int status = Integer.parseInt(statusLine[1]);
        Map<String, String> headers = headers(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                readChunks(in, body);
            } else if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                body.writeBytes(in.readNBytes(length));
                complete = body.size() == length;
            } else if (status >= 200 && status != 204 && status != 304) {
                in.transferTo(body);
            }
        } catch (IOException broken) {
            complete = false;
        }
        return new Answer(status, headers, body.toByteArray(), complete);
    }

    static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            int length = Integer.parseInt(line(in).trim(), 16);
            byte[] chunk = in.readNBytes(length);
            body.writeBytes(chunk);
            if (chunk.length < length) {
                throw new EOFException("connection ended within a chunk");
            }
            line(in);
            if (length == 0) {
                return;
            }
        }
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection ended within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }
}

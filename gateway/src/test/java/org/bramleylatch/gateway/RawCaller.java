package org.bramleylatch.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Acts as a caller that keeps every byte, so that tests see how an answer ended. */
final class RawCaller {
    private static final int READ_TIMEOUT_MILLIS = 6_000;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private RawCaller() {}

    /**
     * Sends a request and reads until the answer looks complete or the connection closes.
     *
     * @param headers the request's headers beside the usual ones
     */
    static Received call(int port, String path, Map<String, String> headers) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            RawEndpoint.write(socket, head(path, headers));
            return read(socket);
        }
    }

    /** Sends a request and closes the connection once the first bytes of the answer arrived. */
    static void callAndLeave(int port, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            RawEndpoint.write(socket, head(path, Map.of()));
            socket.getInputStream().read();
        }
    }

    private static String head(String path, Map<String, String> headers) {
        StringBuilder head =
                new StringBuilder("POST " + path + " HTTP/1.1\r\nhost: ropes.example\r\n")
                        .append("request-id: request-1\r\ndeadline-ms: 10000\r\n")
                        .append("token-counts: 100,50\r\nx-api-key: secret\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        return head.append("content-length: 4\r\n\r\nbody").toString();
    }

    private static Received read(Socket socket) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[4_096];
        try {
            int count = socket.getInputStream().read(buffer);
            while (count >= 0) {
                bytes.write(buffer, 0, count);
                if (text(bytes).endsWith(LAST_CHUNK)) {
                    return new Received(text(bytes), true, false);
                }
                count = socket.getInputStream().read(buffer);
            }
            return new Received(text(bytes), false, true);
        } catch (SocketTimeoutException silent) {
            return new Received(text(bytes), false, false);
        } catch (SocketException reset) {
            return new Received(text(bytes), false, true);
        }
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Holds what arrived.
     *
     * @param text all bytes, one character for each
     * @param complete true if a chunked answer ended with its last chunk
     * @param closed true if the connection closed before the answer was complete
     */
    record Received(String text, boolean complete, boolean closed) {

        /** Returns the events of a chunked answer without the chunks' sizes. */
        String events() {
            return text.substring(text.indexOf("\r\n\r\n") + 4)
                    .replaceAll("\r\n[0-9a-f]+\r\n", "")
                    .replaceAll("^[0-9a-f]+\r\n", "")
                    .replaceAll("\r\n", "");
        }
    }
}

package org.bramleylatch.proof;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Calls a process that stops until it is gone, each time over a new connection. */
final class LastCaller {
    /** The time after its last byte from which a request without an answer counts as lost. */
    private static final long LOSS_SLACK_MILLIS = 200;

    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final long PAUSE_MILLIS = 1;

    private final int port;
    private final byte[] request;

    LastCaller(int port, String request) {
        this.port = port;
        this.request = request.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Waits until the process listens, and returns a connection to it. */
    Socket awaitListening() throws Exception {
        while (true) {
            try {
                return connect();
            } catch (ConnectException notYet) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
    }

    /** Sends one request after the other and returns a line for each that was lost. */
    List<String> findLostUntil(BooleanSupplier ended) throws Exception {
        List<String> lost = new ArrayList<>();
        while (!ended.getAsBoolean()) {
            try {
                long startNanos = System.nanoTime();
                String answer = send(connect());
                long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                if (!answer.startsWith("HTTP/1.1 ") && tookMillis > LOSS_SLACK_MILLIS) {
                    lost.add("no answer within " + tookMillis + " ms");
                }
            } catch (ConnectException notListening) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
        return lost;
    }

    /** Returns the first bytes of the answer; none if the connection is closed without one. */
    String send(Socket caller) throws IOException {
        byte[] bytes = new byte[1_024];
        try (caller) {
            caller.getOutputStream().write(request);
            int count = caller.getInputStream().read(bytes);
            return new String(bytes, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
        } catch (SocketException closed) {
            return "";
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }
}

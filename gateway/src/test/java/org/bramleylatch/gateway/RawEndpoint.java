package org.bramleylatch.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Simulates an endpoint that writes any bytes to its connections, on a thread of its own. */
final class RawEndpoint {
    private static final int MAX_HEAD_BYTES = 8_192;

    private final ServerSocket server;

    /** Answers one request. */
    @FunctionalInterface
    interface Behavior {
        void answer(Socket socket) throws IOException, InterruptedException;
    }

    private RawEndpoint(ServerSocket server) {
        this.server = server;
    }

    /** Answers requests by their heads, and may close the endpoint's port. */
    @FunctionalInterface
    interface HeadBehavior {
        void answer(RawEndpoint endpoint, String head, Socket socket)
                throws IOException, InterruptedException;
    }

    /** Starts an endpoint on a free port of the loopback address. */
    static RawEndpoint start(Behavior behavior) throws IOException {
        return start((endpoint, head, socket) -> behavior.answer(socket));
    }

    /** Starts an endpoint whose behavior depends on the head of a request. */
    static RawEndpoint start(HeadBehavior behavior) throws IOException {
        RawEndpoint endpoint =
                new RawEndpoint(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        startThread(() -> endpoint.accept(behavior));
        return endpoint;
    }

    int port() {
        return server.getLocalPort();
    }

    void close() {
        try {
            server.close();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Closes the port and waits until it refuses connections, which may take a moment. */
    void closePort() throws InterruptedException {
        close();
        while (acceptsConnections()) {
            Thread.sleep(1);
        }
    }

    private boolean acceptsConnections() {
        try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), port())) {
            return probe.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }

    /** Writes the text, one byte for each character. */
    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Closes the connection with a reset. */
    static void reset(Socket socket) throws IOException, InterruptedException {
        Thread.sleep(50);
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void accept(HeadBehavior behavior) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                startThread(() -> serve(socket, behavior));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Answers a request; a connection that is closed without one is a probe. */
    private void serve(Socket socket, HeadBehavior behavior) {
        try (socket) {
            byte[] bytes = new byte[MAX_HEAD_BYTES];
            int length = socket.getInputStream().read(bytes);
            if (length > 0) {
                String head = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
                behavior.answer(this, head, socket);
            }
        } catch (IOException | InterruptedException closed) {
            // The gateway closed the connection, which some tests wait for.
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "raw-endpoint");
        thread.setDaemon(true);
        thread.start();
    }
}

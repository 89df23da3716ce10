package org.bramleylatch.gateway;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bramleylatch.wire.Address;

/**
 * Simulates an endpoint that serves several requests per connection, one after another, and writes
 * any bytes as their answers.
 */
final class KeptConnectionEndpoint {
    private static final Pattern REQUEST_ID = header("request-id", "(\\S+)");
    private static final Pattern CONTENT_LENGTH = header("content-length", "(\\d+)");
    private static final String END_OF_HEAD = "\r\n\r\n";

    private final ServerSocket server;
    private final Behavior behavior;
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final List<Request> requests = new CopyOnWriteArrayList<>();

    /** Answers one request. */
    @FunctionalInterface
    interface Behavior {
        void answer(Request request, Socket socket) throws IOException, InterruptedException;
    }

    /**
     * Describes a request that the endpoint has read.
     *
     * @param connection the number of the connection, from 1 in the order of their opening
     * @param use the number of the request on its connection, from 1
     */
    record Request(String id, int connection, int use) {}

    private KeptConnectionEndpoint(ServerSocket server, Behavior behavior) {
        this.server = server;
        this.behavior = behavior;
    }

    /** Starts an endpoint on a free port of the loopback address and adds it to the registry. */
    static KeptConnectionEndpoint add(
            GatewayHarness harness, String service, String id, Behavior behavior) throws Exception {
        KeptConnectionEndpoint endpoint =
                new KeptConnectionEndpoint(
                        new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), behavior);
        startThread(endpoint::accept);
        harness.store()
                .putEndpoint(
                        id,
                        service,
                        new Address(GatewayHarness.LOOPBACK, endpoint.server.getLocalPort()));
        return endpoint;
    }

    /** Returns the requests that were read so far, in the order of their arrival. */
    List<Request> requests() {
        return requests;
    }

    void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                int connection = connectionCount.incrementAndGet();
                startThread(() -> serve(socket, connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            for (int use = 1; ; use++) {
                Request request = new Request(readRequest(input), connection, use);
                requests.add(request);
                behavior.answer(request, socket);
            }
        } catch (IOException | InterruptedException closed) {
            // The gateway closed the connection, which some tests wait for.
        }
    }

    /** Reads a request completely and returns its id. */
    private static String readRequest(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException();
            }
            head.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        input.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        Matcher id = REQUEST_ID.matcher(head);
        return id.find() ? id.group(1) : "";
    }

    private static Pattern header(String name, String value) {
        return Pattern.compile("(?im)^" + name + ": *" + value + "\r?$");
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "kept-connection-endpoint");
        thread.setDaemon(true);
        thread.start();
    }
}

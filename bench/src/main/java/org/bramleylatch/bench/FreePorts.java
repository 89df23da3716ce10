package org.bramleylatch.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Picks ports for processes that are about to start. The ports are below the range from which
 * outgoing connections get theirs, as one of those could take the port before its process listens.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 15_000;
    private static final int END_PORT = 32_000;
    private static final int MAX_TRIES = 1_000;

    private static final Set<Integer> PICKED = ConcurrentHashMap.newKeySet();

    private FreePorts() {}

    /**
     * Returns a port that is free now, and that this method has not returned before.
     *
     * @throws IllegalStateException if none was found
     */
    public static int pick(String ip) {
        return ThreadLocalRandom.current()
                .ints(FIRST_PORT, END_PORT)
                .limit(MAX_TRIES)
                .filter(port -> isFree(ip, port) && PICKED.add(port))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no free port at " + ip));
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}

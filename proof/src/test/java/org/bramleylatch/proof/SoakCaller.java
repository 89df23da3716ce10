package org.bramleylatch.proof;

import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Optional;

/**
 * Holds a caller, which has one connection and one request at a time.
 *
 * @param number the caller's number
 * @param connection the connection; empty while there is none
 * @param received what arrived since the last answer
 * @param request the id of the open request; empty between two requests
 * @param unsentParts the parts of the open request that are not sent yet
 * @param leaveMillis when the caller leaves before the end; {@link #NEVER} if it waits
 * @param dueMillis when the caller acts next
 */
record SoakCaller(
        int number,
        Optional<Connection> connection,
        String received,
        Optional<String> request,
        List<String> unsentParts,
        long leaveMillis,
        long dueMillis) {
    static final long NEVER = Long.MAX_VALUE;

    /**
     * Holds a connection.
     *
     * @param process the number of the gateway process at its other end
     * @param closing true once an answer said that it will be closed
     */
    record Connection(NetSocket socket, int process, boolean closing) {}

    static SoakCaller disconnected(int number, long dueMillis) {
        return idle(number, Optional.empty(), dueMillis);
    }

    private static SoakCaller idle(int number, Optional<Connection> connection, long dueMillis) {
        return new SoakCaller(
                number, connection, "", Optional.empty(), List.of(), NEVER, dueMillis);
    }

    SoakCaller connected(NetSocket newSocket, int newProcess, long nextMillis) {
        return idle(number, Optional.of(new Connection(newSocket, newProcess, false)), nextMillis);
    }

    SoakCaller begun(String id, List<String> parts, long newLeaveMillis) {
        return new SoakCaller(
                number, connection, "", Optional.of(id), parts, newLeaveMillis, dueMillis);
    }

    /** Returns the caller after it has sent its next part. */
    SoakCaller withPartSent(long nextDueMillis) {
        List<String> rest = unsentParts.subList(1, unsentParts.size());
        return new SoakCaller(
                number, connection, received, request, rest, leaveMillis, nextDueMillis);
    }

    SoakCaller withReceived(String text) {
        return new SoakCaller(
                number, connection, text, request, unsentParts, leaveMillis, dueMillis);
    }

    SoakCaller dueAt(long millis) {
        return new SoakCaller(
                number, connection, received, request, unsentParts, leaveMillis, millis);
    }

    /** Returns the caller between two requests on a connection. */
    SoakCaller idleUntil(long millis, boolean closing) {
        return idle(
                number,
                connection.map(
                        c -> new Connection(c.socket(), c.process(), c.closing() || closing)),
                millis);
    }

    Optional<NetSocket> socket() {
        return connection.map(Connection::socket);
    }
}

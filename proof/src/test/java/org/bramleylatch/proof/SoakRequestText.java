package org.bramleylatch.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Holds what a caller sends, and how it goes on.
 *
 * @param id the request id
 * @param route the route that it asks for
 * @param size the number of events or bytes that it asks for
 * @param deadlineMillis how long the caller waits for the answer
 * @param parts the head and the body, in pieces
 * @param slowMillis for how long the caller reads nothing once the request is sent
 * @param leaveAfterMillis when the caller leaves; empty if it waits for the end
 */
record SoakRequestText(
        String id,
        String route,
        int size,
        long deadlineMillis,
        List<String> parts,
        long slowMillis,
        Optional<Long> leaveAfterMillis) {
    private static final List<String> ROUTES = List.of("chat", "orders", "lookup");
    private static final int TOKENS_PER_EVENT = 4;
    private static final int MAX_EVENTS = 12;
    private static final int MAX_ANSWER_BYTES = 60_000;
    private static final int MAX_BODY_BYTES = 40_000;
    private static final int MAX_PIECES = 6;

    private static final int SHORT_BYTES = 20;
    private static final int SHORT_EVENTS = 8;
    private static final int SHORT_DEADLINE_MILLIS = 2_000;

    /** Decides what a caller sends. */
    @FunctionalInterface
    interface Source {
        SoakRequestText draw(Random random, String id, SoakCaller caller);
    }

    /** Returns a short request whose caller waits for the answer. */
    static SoakRequestText shortRequest(Random random, String id, SoakCaller caller) {
        return withoutBody("lookup", SHORT_BYTES, id, caller);
    }

    /** Returns a request for a short stream, whose caller waits for the answer. */
    static SoakRequestText shortStream(Random random, String id, SoakCaller caller) {
        return withoutBody("chat", SHORT_EVENTS, id, caller);
    }

    private static SoakRequestText withoutBody(
            String route, int size, String id, SoakCaller caller) {
        return new SoakRequestText(
                id,
                route,
                size,
                SHORT_DEADLINE_MILLIS,
                List.of(
                        head(id, route, size, SHORT_DEADLINE_MILLIS, caller)
                                + "content-length: 0\r\n\r\n"),
                0,
                Optional.empty());
    }

    /** Draws any request. */
    static SoakRequestText draw(Random random, String id, SoakCaller caller) {
        String route = ROUTES.get(random.nextInt(ROUTES.size()));
        int size =
                route.equals("chat")
                        ? 1 + random.nextInt(MAX_EVENTS)
                        : 1 + random.nextInt(oneIn(random, 4) ? MAX_ANSWER_BYTES : 200);
        long deadlineMillis = 500 + random.nextInt(4_000);
        String head = head(id, route, size, deadlineMillis, caller);
        return new SoakRequestText(
                id,
                route,
                size,
                deadlineMillis,
                parts(head, random),
                oneIn(random, 10) ? 300 + random.nextInt(1_200) : 0,
                oneIn(random, 10) ? Optional.of((long) random.nextInt(600)) : Optional.empty());
    }

    private static String head(
            String id, String route, int size, long deadlineMillis, SoakCaller caller) {
        return "POST /%s/%s/%d HTTP/1.1\r\nhost: ropes.example\r\nrequest-id: %s\r\n"
                        .formatted(route, id, size, id)
                + "deadline-ms: %d\r\ntoken-counts: 100,%d\r\nx-api-key: key-%d\r\n"
                        .formatted(
                                deadlineMillis,
                                route.equals("chat") ? size * TOKENS_PER_EVENT : 16,
                                caller.number() % 2);
    }

    private static List<String> parts(String head, Random random) {
        String body = "x".repeat(random.nextInt(oneIn(random, 3) ? MAX_BODY_BYTES : 100));
        boolean isChunked = oneIn(random, 3);
        int count = oneIn(random, 2) ? 1 : 1 + random.nextInt(MAX_PIECES);
        List<String> parts = new ArrayList<>();
        parts.add(
                head
                        + (oneIn(random, 8) ? "expect: 100-continue\r\n" : "")
                        + (isChunked
                                ? "transfer-encoding: chunked\r\n\r\n"
                                : "content-length: " + body.length() + "\r\n\r\n"));
        int length = body.length() / count + 1;
        for (int start = 0; start < body.length(); start += length) {
            String piece = body.substring(start, Math.min(body.length(), start + length));
            parts.add(
                    isChunked
                            ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n"
                            : piece);
        }
        if (isChunked) {
            parts.add("0\r\n\r\n");
        }
        return count == 1 && !parts.get(0).contains("expect")
                ? List.of(String.join("", parts))
                : parts;
    }

    private static boolean oneIn(Random random, int count) {
        return random.nextInt(count) == 0;
    }
}

package org.bramleylatch.proof;

import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Holds a request of a caller. Times are in milliseconds of the soak's clock.
 *
 * @param id the request id, unique in a soak
 * @param route the name of the route that it asks for
 * @param size the number of events or bytes that its answer has
 * @param process the number of the gateway process that its connection leads to
 * @param afterClose true if an answer had said that the connection will be closed
 * @param deadlineMillis how long the caller waits, as its header says
 * @param begunMillis when its first byte was sent
 * @param sentMillis when its last byte was sent; empty before
 * @param slowMillis for how long the caller reads nothing
 * @param end how it ended; empty before
 */
record SoakRequest(
        String id,
        String route,
        int size,
        int process,
        boolean afterClose,
        long deadlineMillis,
        long begunMillis,
        Optional<Long> sentMillis,
        long slowMillis,
        Optional<End> end) {
    private static final int STATUS_OK = 200;

    /** Lists the ways in which a request ends for its caller. */
    enum EndKind {
        COMPLETE,
        CLOSED,
        CALLER_LEFT,
        OVERDUE
    }

    /** Holds the end of a request, with what was received until then. */
    record End(EndKind kind, long atMillis, Optional<SoakMessage> answer) {}

    SoakRequest withSent(long nowMillis) {
        return with(Optional.of(nowMillis), end);
    }

    /** Returns the row with its end; the first end counts. */
    SoakRequest withEnd(End newEnd) {
        return with(sentMillis, end.or(() -> Optional.of(newEnd)));
    }

    private SoakRequest with(Optional<Long> newSentMillis, Optional<End> newEnd) {
        return new SoakRequest(
                id,
                route,
                size,
                process,
                afterClose,
                deadlineMillis,
                begunMillis,
                newSentMillis,
                slowMillis,
                newEnd);
    }

    /** Returns true if the caller got a complete success. */
    boolean isServed() {
        return end.filter(e -> e.kind() == EndKind.COMPLETE)
                .flatMap(End::answer)
                .filter(answer -> answer.status() == STATUS_OK)
                .isPresent();
    }

    boolean isStream() {
        return route.equals("chat");
    }

    /** Returns the body of a complete answer, without comments. */
    String expectedBody() {
        return isStream() ? events(id, 1, size) : whole(id, size);
    }

    static String events(String id, int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(number -> "id: " + number + "\ndata: " + id + "-" + number + "\n\n")
                .collect(Collectors.joining());
    }

    static String whole(String id, int size) {
        return (id + " ").repeat(size / (id.length() + 1) + 1).substring(0, size);
    }
}

package org.bramleylatch.gateway;

import java.util.stream.IntStream;

/** Writes whole answers of endpoints, with the id of their request and a signature. */
final class AnswerText {
    private AnswerText() {}

    /** Returns a success with a stream of events, whole by its length. */
    static String success(String id, String stream) {
        return of("200 OK", "content-type: text/event-stream\r\n", id, stream);
    }

    static String failure(String id) {
        return of("500 Failed", "", id, "no");
    }

    /** Returns the events from the first to the last number. */
    static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(GatewayHarness::event)
                .reduce("", String::concat);
    }

    private static String of(String status, String headers, String id, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\nserver-seal: seal-of-"
                + id
                + "\r\nrequest-id: "
                + id
                + "\r\n"
                + headers
                + "content-length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}

package org.bramleylatch.gateway;

import java.util.concurrent.TimeUnit;

/** Builds the bytes of streamed answers, and configures a route that allows three attempts. */
final class StreamText {
    static final String LAST_CHUNK = "0\r\n\r\n";

    private static final String CONFIG =
            """
            {"version": 2,
             "routes": [
              {"name": "chat", "host": "ropes.example", "pathPrefix": "/chat/",
               "kind": "streaming", "service": "llm", "maxAttempts": 2, "resumable": true,
               "sticky": true, "timeoutMs": 15000, "targetLatencyMs": 400},
              {"name": "story", "host": "ropes.example", "pathPrefix": "/story/",
               "kind": "streaming", "service": "llm", "maxAttempts": 3, "resumable": true,
               "sticky": true, "timeoutMs": 15000, "targetLatencyMs": 400},
              {"name": "orders", "host": "ropes.example", "pathPrefix": "/orders/",
               "kind": "unsafe", "service": "app", "maxAttempts": 2, "timeoutMs": 15000,
               "targetLatencyMs": 400}],
             "services": [{"name": "llm", "engine": {"kvCapacity": 100000, "stride": 4}}],
             "tenants": [{"name": "ropes", "apiKeys": ["secret"], "prepaid": 100000}]}
            """;

    private StreamText() {}

    /** Adds a resumable route for three attempts and waits until the gateway knows it. */
    static void configureStoryRoute(GatewayHarness harness) throws Exception {
        harness.configureAndAwaitReady();
        harness.store().putConfiguration(CONFIG);
        while (harness.call("/story/1", "unknown").status() != 401) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Returns the head of a signed stream with one more header. */
    static String head(String header) {
        return "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n"
                + "content-type: text/event-stream\r\n"
                + header
                + "\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against refusing requests whose headers the operator's limits allow. */
class LongHeadersTest {
    private static final int PARTS = 900;

    private final GatewayHarness harness = new GatewayHarness();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    // Guards against a status 431 that the runtime sends before the router sees the request.
    @Test
    void aRequestWithFifteenKilobytesOfHeadersReachesItsEndpoint() throws Exception {
        harness.addRawEndpoint("llm", "i-1", LongHeadersTest::answerAfterWholeRequest);
        harness.configureAndAwaitReady();
        String parts =
                IntStream.range(0, PARTS)
                        .mapToObj(index -> String.format("%012x:1", index))
                        .collect(Collectors.joining(","));
        assertThat(harness.callWithPrompt(parts).status()).isEqualTo(200);
    }

    /** Reads on until the end of the request, as unread bytes would reset the connection. */
    private static void answerAfterWholeRequest(Socket socket) throws IOException {
        byte[] bytes = new byte[4_096];
        StringBuilder rest = new StringBuilder();
        while (!rest.toString().endsWith("body")) {
            int count = socket.getInputStream().read(bytes);
            rest.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
        }
        RawEndpoint.write(
                socket,
                "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n"
                        + "content-type: text/event-stream\r\n\r\n"
                        + GatewayHarness.event(1));
    }
}

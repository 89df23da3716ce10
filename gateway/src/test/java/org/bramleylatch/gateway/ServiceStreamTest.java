package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests whose answer is a stream although their route is not for streams. */
class ServiceStreamTest {
    private final GatewayHarness harness = new GatewayHarness();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    // Guards against a request that leaves the router's table without the end of its answer.
    @Test
    void aStreamOfAPlainServiceEndsForItsCaller() throws Exception {
        String events = GatewayHarness.event(1) + GatewayHarness.event(2);
        harness.addEndpoint(
                "app",
                "i-1",
                (request, count) ->
                        request.response()
                                .putHeader("request-id", "request-1")
                                .putHeader("server-seal", "seal-1")
                                .putHeader("content-type", "text/event-stream")
                                .end(events));
        harness.configureAndAwaitReady();
        GatewayHarness.Answer answer = harness.call("/orders/1");
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo(events);
    }
}

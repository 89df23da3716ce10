package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that ends open requests with a closed connection. */
class StopWithOpenRequestTest {
    private static final long AWAIT_SECONDS = 20;

    private final GatewayHarness harness = new GatewayHarness();
    private final CountDownLatch requestReceived = new CountDownLatch(1);

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    // Guards against an exit at the end of the grace period before the request is answered.
    @Test
    void aStoppingGatewayAnswersARequestWhoseEndpointIsSilentBeforeItExits() throws Exception {
        harness.addEndpoint("app", "i-1", (request, count) -> requestReceived.countDown());
        harness.configureAndAwaitReady();
        CompletableFuture<GatewayHarness.Answer> answer =
                CompletableFuture.supplyAsync(this::callOrders);
        assertThat(requestReceived.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        harness.gateway()
                .stop()
                .thenRun(() -> harness.gateway().close())
                .get(AWAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(answer.get(AWAIT_SECONDS, TimeUnit.SECONDS).status()).isEqualTo(502);
        assertThat(answer.join().body()).contains("SHUTTING_DOWN", "unknown");
    }

    private GatewayHarness.Answer callOrders() {
        try {
            return harness.call("/orders/1");
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }
}

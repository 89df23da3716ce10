package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.edge.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that arrive late in the grace period of a planned stop and are passed on,
 * so that the end of the process cuts them off.
 */
class LateInGraceTest {
    /** Longer than the gateway takes requests after the stop was asked for. */
    private static final long LATE_MILLIS = 3_200;

    private static final long GRACE_MILLIS = 8_000;

    private final GatewayHarness harness = new GatewayHarness();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @Test
    void aRequestThatArrivesLateInTheGraceIsRefusedAsNotRunAndNotPassedOn() throws Exception {
        harness.addEndpoint("app", "i-1", (request, count) -> {});
        harness.configureAndAwaitReady();
        CompletableFuture<GatewayHarness.Answer> open =
                CompletableFuture.supplyAsync(() -> callOrFail("/orders/1"));
        while (harness.receivedRequests.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        harness.gateway().stop();
        TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
        GatewayHarness.Answer late = harness.call("/orders/2");
        assertThat(late.status()).isEqualTo(503);
        assertThat(late.body()).contains("not_run");
        assertThat(late.header("connection")).isEqualTo("close");
        assertThat(harness.receivedRequests).hasSize(1);
        assertThat(open.get(10, TimeUnit.SECONDS).status()).isEqualTo(502);
    }

    /** Guards against a grace that counts from the end of the start when the signal came before. */
    @Test
    void aStopThatWasAskedForWhileTheGatewayStartedEndsItsRequestsInTheRestOfTheGrace()
            throws Exception {
        harness.addEndpoint("app", "i-1", (request, count) -> {});
        harness.configureAndAwaitReady();
        CompletableFuture<GatewayHarness.Answer> open =
                CompletableFuture.supplyAsync(() -> callOrFail("/orders/1"));
        while (harness.receivedRequests.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        long askedMillis = MonotonicClock.system().millis() - LATE_MILLIS;
        CompletableFuture<Void> stopped = harness.gateway().stop(askedMillis);
        stopped.get(GRACE_MILLIS - LATE_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(open.get(1, TimeUnit.SECONDS).status()).isEqualTo(502);
    }

    private GatewayHarness.Answer callOrFail(String path) {
        try {
            return harness.call(path);
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }
}

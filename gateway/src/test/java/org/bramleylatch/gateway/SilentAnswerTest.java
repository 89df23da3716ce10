package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against answers of sound endpoints that are cut off because of a short silence. */
class SilentAnswerTest {
    private static final long SILENCE_MILLIS = 1_400;

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
    void aStreamThatIsSilentBeforeItsFirstEventIsServedByTheOnlyEndpoint() throws Exception {
        addEndpoints(1, request -> sendLater(request, "", 1, 2));
        assertServedByOneRun();
    }

    @Test
    void aStreamThatIsSilentBeforeItsFirstEventIsRunOnceBesideAnotherEndpoint() throws Exception {
        addEndpoints(2, request -> sendLater(request, "", 1, 2));
        assertServedByOneRun();
    }

    @Test
    void aStreamThatIsSilentAfterItsFirstEventIsRunOnceBesideAnotherEndpoint() throws Exception {
        addEndpoints(2, request -> sendLater(request, GatewayHarness.event(1), 2, 2));
        assertServedByOneRun();
    }

    @Test
    void aCallerIsToldBeforeItsDeadlineThatASilentEndpointHasEnded() throws Exception {
        AtomicReference<RawEndpoint> endpoint = new AtomicReference<>();
        endpoint.set(
                RawEndpoint.start(
                        socket -> {
                            endpoint.get().close();
                            TimeUnit.MINUTES.sleep(1);
                        }));
        harness.store()
                .putEndpoint(
                        "i-1", "app", new Address(GatewayHarness.LOOPBACK, endpoint.get().port()));
        harness.configureAndAwaitReady();
        GatewayHarness.Answer answer = harness.call("/orders/1");
        assertThat(answer.status()).as("504 at the deadline").isEqualTo(502);
        assertThat(answer.body()).contains("ENDPOINT_FAILED", "unknown", "probe=REFUSED");
    }

    @Test
    void aPlainAnswerAfterASilenceIsServedByItsOnlyRun() throws Exception {
        harness.addEndpoint("app", "i-1", (request, count) -> answerLater(request));
        harness.addEndpoint("app", "i-2", (request, count) -> answerLater(request));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1").body()).isEqualTo("done");
        assertThat(harness.receivedRequests).hasSize(1);
    }

    private void answerLater(HttpServerRequest request) {
        request.response()
                .putHeader("request-id", request.getHeader("request-id"))
                .putHeader("server-seal", "seal-1");
        harness.vertx.setTimer(SILENCE_MILLIS, ignored -> request.response().end("done"));
    }

    private void assertServedByOneRun() throws Exception {
        harness.configureAndAwaitReady();
        GatewayHarness.Answer answer = harness.call("/chat/1");
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo(GatewayHarness.event(1) + GatewayHarness.event(2));
        assertThat(harness.receivedRequests).hasSize(1);
    }

    private void addEndpoints(int endpoints, Consumer<HttpServerRequest> answer) throws Exception {
        for (int index = 1; index <= endpoints; index++) {
            harness.addEndpoint("llm", "i-" + index, (request, count) -> answer.accept(request));
        }
    }

    /** Sends the text, then nothing for a while, then the events from the first to the last. */
    private void sendLater(HttpServerRequest request, String text, int first, int last) {
        StringBuilder rest = new StringBuilder();
        for (int id = first; id <= last; id++) {
            rest.append(GatewayHarness.event(id));
        }
        request.response()
                .putHeader("request-id", request.getHeader("request-id"))
                .putHeader("server-seal", "seal-1")
                .putHeader("content-type", "text/event-stream")
                .setChunked(true);
        if (!text.isEmpty()) {
            request.response().write(text);
        }
        harness.vertx.setTimer(SILENCE_MILLIS, ignored -> request.response().end(rest.toString()));
    }
}

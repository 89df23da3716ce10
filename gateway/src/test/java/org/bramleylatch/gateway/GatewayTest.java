package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs a complete gateway on loopback with a caller, simulated endpoints and a simulated store. */
class GatewayTest {
    private static final long AWAIT_TIMEOUT_SECONDS = 20;

    private static final String SOUND_ANSWER =
            "HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nserver-seal: seal-1\r\n"
                    + "content-length: 4\r\n\r\ndone";

    private final AtomicInteger crashCount = new AtomicInteger();
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
    void beforeAConfigurationIsKnownACallerIsToldThatNothingRanAndWhenToRetry() throws Exception {
        GatewayHarness.Answer answer = harness.call("/chat/1", "secret");
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("retry-after")).isNotEmpty();
        assertThat(answer.header("server-seal")).isEmpty();
    }

    @Test
    void aCompleteStreamReachesItsCallerWithTheSignatureOfItsEndpoint() throws Exception {
        harness.addEndpoint("llm", "i-1", (request, count) -> sendEvents(request, 1, 3));
        harness.configureAndAwaitReady();
        GatewayHarness.Answer answer = harness.call("/chat/1", "secret");
        assertThat(answer.body())
                .isEqualTo(
                        GatewayHarness.event(1)
                                + GatewayHarness.event(2)
                                + GatewayHarness.event(3));
        assertThat(answer.header("server-seal")).isEqualTo("seal-1");
    }

    @Test
    void theEndpointReceivesTheWorkspaceThatPaysButNotTheApiKey() throws Exception {
        harness.addEndpoint("app", "i-1", (request, count) -> signed(request).end("done"));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1", "secret").body()).isEqualTo("done");
        assertThat(harness.receivedRequests.get(0).getHeader("tenant")).isEqualTo("ropes");
        assertThat(harness.receivedRequests.get(0).getHeader("x-api-key")).isNull();
        assertThat(harness.receivedRequests.get(0).getHeader("expect-instance")).isEqualTo("i-1");
        assertThat(harness.receivedRequests.get(0).uri()).isEqualTo("/orders/1?q=%20");
    }

    @Test
    void aRequestWithAnUnknownKeyIsRefusedAndReachesNoEndpoint() throws Exception {
        harness.addEndpoint("app", "i-1", (request, count) -> signed(request).end("done"));
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/1", "stolen").status()).isEqualTo(401);
        assertThat(harness.receivedRequests).isEmpty();
    }

    @Test
    void theAnswerToAnotherRequestNeverReachesTheCaller() throws Exception {
        harness.addEndpoint(
                "app",
                "i-1",
                (request, count) ->
                        request.response()
                                .putHeader("request-id", "another")
                                .putHeader("server-seal", "seal-1")
                                .end("not yours"));
        harness.configureAndAwaitReady();
        GatewayHarness.Answer answer = harness.call("/orders/1", "secret");
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.body()).doesNotContain("not yours");
        assertThat(harness.receivedRequests).hasSize(1);
    }

    @Test
    void aBrokenStreamResumesAtAnotherEndpointAfterItsLastEvent() throws Exception {
        BiConsumer<HttpServerRequest, Integer> breaksFirstStream =
                (request, count) -> {
                    if (count == 1) {
                        signed(request).putHeader("content-type", "text/event-stream");
                        request.response()
                                .setChunked(true)
                                .write(GatewayHarness.event(1) + "id: 2\nda");
                        harness.vertx.setTimer(50, ignored -> request.connection().close());
                    } else {
                        sendEvents(
                                request,
                                Integer.parseInt(request.getHeader("last-event-id")) + 1,
                                3);
                    }
                };
        harness.addEndpoint("llm", "i-1", breaksFirstStream);
        harness.addEndpoint("llm", "i-2", breaksFirstStream);
        harness.configureAndAwaitReady();
        assertThat(harness.call("/chat/1", "secret").body())
                .isEqualTo(
                        GatewayHarness.event(1)
                                + GatewayHarness.event(2)
                                + GatewayHarness.event(3));
        assertThat(harness.receivedRequests).hasSize(2);
    }

    /** Guards against a prompt that is sent from one endpoint to the next and crashes each. */
    @Test
    void aPromptThatCrashedTwoEndpointsIsRefusedAtOnceAndTheStoreKnowsWhy() throws Exception {
        for (int index = 1; index <= 3; index++) {
            addCrashingEndpoint("i-" + index);
        }
        harness.configureAndAwaitReady();
        assertThat(harness.callWithPrompt("5c1e07a2:60,deadbeef:30,e4402b7d:10").status())
                .isEqualTo(502);
        GatewayHarness.Answer second =
                harness.callWithPrompt("5c1e07a2:60,deadbeef:30,91bd3f06:10");
        assertThat(second.status()).isEqualTo(503);
        assertThat(second.body()).contains("PROMPT_QUARANTINED", "not_run");
        assertThat(Double.parseDouble(second.header("retry-after"))).isGreaterThan(20);
        assertThat(crashCount).hasValue(2);
        while (!harness.store().newestValue("keyed.bramleylatch.reports").contains("deadbeef")) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Guards against BUDGET: one request, repeated by its caller, crashes server after server. */
    @Test
    void aRequestThatCrashedTwoEndpointsOfAPlainServiceIsRefusedAndNoOther() throws Exception {
        for (int index = 1; index <= 3; index++) {
            addEndpointThatCrashesAt("i-" + index, "/orders/deadly?q=%20");
        }
        harness.configureAndAwaitReady();
        assertThat(harness.call("/orders/deadly").status()).isEqualTo(502);
        assertThat(harness.call("/orders/deadly").status()).isEqualTo(502);
        GatewayHarness.Answer third = harness.call("/orders/deadly");
        assertThat(third.status()).isEqualTo(503);
        assertThat(third.body()).contains("PROMPT_QUARANTINED", "not_run");
        assertThat(crashCount).hasValue(2);
        assertThat(harness.call("/orders/sound").status()).isEqualTo(200);
    }

    @Test
    void aStreamThatEndsWhileTheGatewayStopsIsComplete() throws Exception {
        harness.addEndpoint(
                "llm",
                "i-1",
                (request, count) -> {
                    signed(request).putHeader("content-type", "text/event-stream");
                    request.response().setChunked(true).write(GatewayHarness.event(1));
                    harness.gateway().stop();
                    harness.vertx.setTimer(
                            300, ignored -> request.response().end(GatewayHarness.event(2)));
                });
        harness.configureAndAwaitReady();
        assertThat(harness.call("/chat/1", "secret").body())
                .isEqualTo(GatewayHarness.event(1) + GatewayHarness.event(2));
    }

    private void addCrashingEndpoint(String id) throws Exception {
        addCrashingEndpoint(id, "llm", head -> true);
    }

    /** Adds an endpoint that answers all requests but one. */
    private void addEndpointThatCrashesAt(String id, String uri) throws Exception {
        addCrashingEndpoint(id, "app", head -> head.contains(' ' + uri + ' '));
    }

    /**
     * Adds an endpoint that closes its port, and then its connections, at some requests: a port
     * that is closed later would make the crash look like a reset connection.
     */
    private void addCrashingEndpoint(String id, String service, Predicate<String> isDeadly)
            throws Exception {
        harness.addRawEndpoint(
                service,
                id,
                RawEndpoint.start(
                        (endpoint, head, socket) -> {
                            if (isDeadly.test(head)) {
                                crashCount.incrementAndGet();
                                endpoint.closePort();
                            } else {
                                RawEndpoint.write(socket, SOUND_ANSWER);
                            }
                        }));
    }

    private static HttpServerResponse signed(HttpServerRequest request) {
        return request.response()
                .putHeader("request-id", request.getHeader("request-id"))
                .putHeader("server-seal", "seal-1");
    }

    private static void sendEvents(HttpServerRequest request, int first, int last) {
        StringBuilder body = new StringBuilder();
        for (int id = first; id <= last; id++) {
            body.append(GatewayHarness.event(id));
        }
        signed(request).putHeader("content-type", "text/event-stream").end(body.toString());
    }
}

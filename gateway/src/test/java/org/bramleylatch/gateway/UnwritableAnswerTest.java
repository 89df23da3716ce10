package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterInput.CallArrived;
import org.bramleylatch.core.RouterInput.CallerDisconnected;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterOutput.DeliverServiceAnswer;
import org.bramleylatch.core.RouterOutput.DeliverTokens;
import org.bramleylatch.core.RouterOutput.Refuse;
import org.bramleylatch.core.RunState;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.edge.RequestMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a caller that waits for good because its answer could not be written: its
 * connection closes, and the router forgets the request.
 */
class UnwritableAnswerTest {
    private static final int NO_STATUS = -1;

    private final Vertx vertx = Vertx.vertx();
    private final List<RouterInput> inputs = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aWholeAnswerToABegunStreamClosesTheConnection() throws Exception {
        RawCaller.Received received =
                callAndAnswer(
                        id -> List.of(event(id), new DeliverServiceAnswer(id, 404, "no stream")));
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.text()).doesNotContain("no stream");
        assertThat(inputs).anyMatch(CallerDisconnected.class::isInstance);
    }

    @Test
    void aRefusalOfABegunStreamClosesTheConnection() throws Exception {
        RawCaller.Received received =
                callAndAnswer(
                        id ->
                                List.of(
                                        event(id),
                                        new Refuse(
                                                id,
                                                ResultCode.ANSWER_INCOMPLETE,
                                                RunState.RAN,
                                                "no stream")));
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.text()).doesNotContain("no stream");
    }

    @Test
    void anAnswerWithAnInvalidStatusClosesTheConnection() throws Exception {
        RawCaller.Received received =
                callAndAnswer(id -> List.of(new DeliverServiceAnswer(id, NO_STATUS, "done")));
        assertThat(received.closed()).as("closed").isTrue();
        assertThat(received.text()).isEmpty();
        assertThat(inputs).anyMatch(CallerDisconnected.class::isInstance);
    }

    /** Sends a request to a server that answers it with the given messages of a router. */
    private RawCaller.Received callAndAnswer(Function<RequestId, List<RouterOutput>> answer)
            throws Exception {
        CallerServer[] server = new CallerServer[1];
        server[0] =
                new CallerServer(
                        MonotonicClock.system(),
                        input -> {
                            inputs.add(input);
                            if (input instanceof CallArrived arrived) {
                                answer.apply(arrived.call().id()).forEach(server[0]::handleOutput);
                            }
                        },
                        new RequestMetrics(new PrometheusRegistry(), "gateway"),
                        () -> {},
                        () -> 1_000,
                        () -> false);
        HttpServer listening =
                vertx.createHttpServer()
                        .requestHandler(server[0]::handleRequest)
                        .listen(0, GatewayHarness.LOOPBACK)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(20, TimeUnit.SECONDS);
        return RawCaller.call(listening.actualPort(), "/chat/1", Map.of());
    }

    private static DeliverTokens event(RequestId id) {
        return new DeliverTokens(id, GatewayHarness.event(1));
    }
}

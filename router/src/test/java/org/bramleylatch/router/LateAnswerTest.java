package org.bramleylatch.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RunState;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.EngineProtocol;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an attempt that is answered with what an endpoint wrote for another one. */
class LateAnswerTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long AWAIT_SECONDS = 10;
    private static final EndpointId ENDPOINT = EndpointId.of("endpoint-1");
    private static final Pattern ATTEMPT =
            Pattern.compile(EngineProtocol.ATTEMPT_HEADER + ": (\\S+)");
    private static final String NOT_RUN_HEADER =
            EngineProtocol.RUN_STATE_HEADER + ": " + EngineProtocol.RUN_STATE_NOT_RUN + "\r\n";

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final BlockingQueue<RouterInput> inputs = new LinkedBlockingQueue<>();
    private final CompletableFuture<CallerExchange> exchange = new CompletableFuture<>();
    private EndpointClient client;

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aLateCopyOfAServicesAnswerNeverAnswersTheNextAttempt() throws Exception {
        start(attempt -> whole(200, "", "answer to " + attempt));
        assertThat(run("a")).isEqualTo(answered("a", "answer to a"));
        assertThat(run("b")).isEqualTo(answered("b", "answer to b"));
    }

    @Test
    void aLateCopyOfARefusalNeverSaysThatTheNextAttemptDidNotRun() throws Exception {
        start(
                attempt ->
                        attempt.equals("a")
                                ? whole(503, NOT_RUN_HEADER, "")
                                : whole(200, "", "answer"));
        assertThat(run("a")).isEqualTo(failed("a", RunState.NOT_RUN, "status 503"));
        assertThat(run("b")).isEqualTo(answered("b", "answer"));
    }

    @Test
    void aLateCopyOfAStreamNeverEndsTheNextAttempt() throws Exception {
        start(attempt -> stream(EngineProtocol.endEvent(attempt, 0, 1)));
        assertThat(run("a")).isEqualTo(new RouterInput.AnswerEnded(AttemptId.of("a"), 0, "stop"));
        assertThat(run("b")).isEqualTo(new RouterInput.AnswerEnded(AttemptId.of("b"), 0, "stop"));
    }

    @Test
    void aStreamThatNamesAnotherAttemptFailsItsOwn() throws Exception {
        start(attempt -> stream(EngineProtocol.endEvent("another", 0, 1)));
        assertThat(run("a"))
                .isEqualTo(failed("a", RunState.UNKNOWN, "an event names another attempt"));
    }

    private RouterInput run(String attempt) throws InterruptedException {
        vertx.runOnContext(
                run ->
                        client.startAttempt(
                                new RouterOutput.StartAttempt(
                                        AttemptId.of(attempt),
                                        RequestId.of("request"),
                                        ENDPOINT,
                                        0)));
        return awaitInput();
    }

    private RouterInput awaitInput() throws InterruptedException {
        RouterInput input;
        do {
            input = inputs.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        } while (input instanceof RouterInput.EndpointsListed);
        return input;
    }

    /** Starts an endpoint that writes each answer again, once it has read the next request. */
    private void start(UnaryOperator<String> answers) throws Exception {
        int endpointPort =
                vertx.createNetServer()
                        .connectHandler(socket -> serve(socket, answers))
                        .listen(0, LOOPBACK)
                        .await(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        int platformPort =
                vertx.createHttpServer()
                        .requestHandler(request -> answerOrHold(request, endpointPort))
                        .listen(0, LOOPBACK)
                        .await(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        vertx.createHttpClient()
                .request(HttpMethod.POST, platformPort, LOOPBACK, "/call")
                .onSuccess(request -> request.send());
        CallerExchange held = exchange.get(AWAIT_SECONDS, TimeUnit.SECONDS);
        client =
                new EndpointClient(
                        vertx,
                        new PlatformClient(vertx, new Address(LOOPBACK, platformPort)),
                        id -> Optional.of(held),
                        id -> false,
                        inputs::add);
        client.startPolling();
        assertThat(inputs.poll(AWAIT_SECONDS, TimeUnit.SECONDS))
                .isInstanceOf(RouterInput.EndpointsListed.class);
    }

    private static void serve(NetSocket socket, UnaryOperator<String> answers) {
        StringBuilder previous = new StringBuilder();
        socket.handler(
                bytes -> {
                    Matcher attempt = ATTEMPT.matcher(bytes.toString());
                    assertThat(attempt.find()).isTrue();
                    String answer = answers.apply(attempt.group(1));
                    socket.write(previous + answer);
                    previous.replace(0, previous.length(), answer);
                });
    }

    /** Lists the endpoint to the platform's client; holds the request of a caller open. */
    private void answerOrHold(HttpServerRequest request, int endpointPort) {
        if (request.path().equals("/vms")) {
            VmList.Vm vm =
                    new VmList.Vm(
                            ENDPOINT,
                            "service",
                            Zone.of("zone"),
                            LOOPBACK,
                            endpointPort,
                            Version.of("1"),
                            0,
                            false);
            request.response().end(Json.write(new VmList(List.of(vm))));
        } else {
            exchange.complete(new BufferedAnswer(request, "body", 0, "request", ""));
        }
    }

    private static RouterInput answered(String attempt, String body) {
        return new RouterInput.ServiceAnswered(AttemptId.of(attempt), 200, body);
    }

    private static RouterInput failed(String attempt, RunState runState, String detail) {
        return new RouterInput.AttemptFailed(AttemptId.of(attempt), runState, detail);
    }

    private static String stream(String events) {
        return whole(200, "content-type: text/event-stream\r\n", events);
    }

    private static String whole(int status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\n"
                + headers
                + "content-length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}

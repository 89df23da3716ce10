package org.bramleylatch.keeper;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.VmList;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a budget that is billed for the usage of another attempt. */
class LateUsageAnswerTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long AWAIT_SECONDS = 10;
    private static final EndpointId ENDPOINT = EndpointId.of("endpoint-1");

    private static final long RETRY_MILLIS = 50;
    private static final Pattern ATTEMPT = Pattern.compile("GET /attempts/(\\d+) ");
    private static final String SLOW_ATTEMPT = "1";

    /** Exceeds the time after which the client gives a query up. */
    private static final long LATE_MILLIS = 1_200;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final BlockingQueue<KeeperInput> inputs = new LinkedBlockingQueue<>();
    private AttemptUsageClient client;

    @BeforeEach
    void start() throws Exception {
        int endpointPort =
                vertx.createNetServer()
                        .connectHandler(this::serve)
                        .listen(0, LOOPBACK)
                        .await(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        VmList.Vm vm =
                new VmList.Vm(
                        ENDPOINT,
                        "engine",
                        Zone.of("zone"),
                        LOOPBACK,
                        endpointPort,
                        Version.of("1"),
                        0,
                        false);
        int platformPort =
                vertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        request.response().end(Json.write(new VmList(List.of(vm)))))
                        .listen(0, LOOPBACK)
                        .await(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        client =
                new AttemptUsageClient(
                        vertx,
                        new PlatformClient(vertx, new Address(LOOPBACK, platformPort)),
                        inputs::add);
        client.start();
        awaitVms();
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aLateCopyOfAnAnswerNeverAnswersTheNextQuery() throws Exception {
        assertThat(query("7")).isEqualTo(OptionalLong.of(7));
        assertThat(query("9")).isEqualTo(OptionalLong.of(9));
    }

    @Test
    void anAnswerAfterTheTimeoutNeverAnswersTheNextQuery() throws Exception {
        assertThat(query(SLOW_ATTEMPT)).isEmpty();
        assertThat(query("9")).isEqualTo(OptionalLong.of(9));
    }

    /** Waits for the list of VMs: until then, nothing is reported. */
    private void awaitVms() throws Exception {
        EndpointId unlisted = EndpointId.of("unlisted");
        do {
            queryUsage(unlisted, "0");
        } while (inputs.poll(RETRY_MILLIS, TimeUnit.MILLISECONDS) == null);
    }

    private OptionalLong query(String attempt) throws Exception {
        queryUsage(ENDPOINT, attempt);
        KeeperInput input = inputs.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        return ((KeeperInput.AttemptUsageReported) input).tokens();
    }

    private void queryUsage(EndpointId endpoint, String attempt) throws Exception {
        KeeperOutput.QueryAttemptUsage query =
                new KeeperOutput.QueryAttemptUsage(
                        RequestKey.of(0, 0), AttemptId.of(attempt), endpoint);
        CompletableFuture.runAsync(
                        () -> client.queryUsage(query),
                        task -> vertx.runOnContext(run -> task.run()))
                .get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Answers with the number that the attempt is named by, after the answer before it. */
    private void serve(NetSocket socket) {
        StringBuilder previous = new StringBuilder();
        socket.handler(
                bytes -> {
                    Matcher attempt = ATTEMPT.matcher(bytes.toString());
                    assertThat(attempt.find()).isTrue();
                    String answer = answer(attempt.group(1));
                    String text = previous + answer;
                    if (attempt.group(1).equals(SLOW_ATTEMPT)) {
                        vertx.setTimer(LATE_MILLIS, id -> socket.write(text));
                    } else {
                        socket.write(text);
                    }
                    previous.replace(0, previous.length(), answer);
                });
    }

    private static String answer(String tokens) {
        String body = "{\"running\":false,\"tokens\":" + tokens + "}";
        return "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }
}

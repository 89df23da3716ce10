package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.bramleylatch.gateway.GatewayHarness.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an answer that is put together from two attempts, and against a status that is not
 * the endpoint's.
 */
class AnswerOfOneAttemptTest {
    /** Holds a route without a prepaid budget, so that no request waits for tokens. */
    private static final String CONFIG =
            """
            {"version": 2,
             "routes": [
              {"name": "free", "host": "ropes.example", "pathPrefix": "/free/",
               "kind": "streaming", "service": "llm", "maxAttempts": 2, "resumable": true,
               "timeoutMs": 15000, "targetLatencyMs": 1000}],
             "services": [{"name": "llm", "engine": {"kvCapacity": 100000, "stride": 4}}],
             "tenants": [{"name": "ropes", "apiKeys": ["secret"]}]}
            """;

    private static final String FIRST = GatewayHarness.event(1);
    private static final String SECOND = GatewayHarness.event(2);
    private static final String COMMENT = ": comment\n\n";
    private static final List<String> ENDPOINTS = List.of("i-1", "i-2");
    private static final int LATE_MILLIS = 100;

    private final GatewayHarness harness = new GatewayHarness();
    private final AtomicInteger requestCount = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() {
        harness.stop();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 203, 206})
    void aStreamKeepsTheStatusOfItsEndpoint(int status) throws Exception {
        addEndpoints(stream(status, FIRST));
        assertThat(harness.call("/free/1").status()).isEqualTo(status);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 206})
    void aStreamWithoutEventsKeepsTheStatusOfItsEndpoint(int status) throws Exception {
        addEndpoints(stream(status, ""));
        assertThat(harness.call("/free/1").status()).isEqualTo(status);
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 205})
    void anEmptyStreamWhoseStatusAllowsNoBodyIsWrittenWithoutOne(int status) throws Exception {
        addEndpoints(stream(status, ""));
        RawCaller.Received received =
                RawCaller.call(
                        harness.gateway().ports().get(0), "/free/1", Map.of("connection", "close"));
        assertThat(received.text()).startsWith("HTTP/1.1 " + status).endsWith("\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("failedAttemptsWithTheNext")
    void anAnswerIsThatOfTheAttemptAfterAFailedOne(String failed, Reply next) throws Exception {
        addEndpoints(failed, next.bytes());
        Answer answer = harness.call("/free/1");
        assertThat(answer.status()).isEqualTo(next.status());
        assertThat(answer.header("server-seal")).isEqualTo("seal-" + next.status());
        assertThat(answer.body()).isEqualTo(next.body());
    }

    @ParameterizedTest
    @MethodSource("failedAttempts")
    void aProblemDocumentAfterTwoFailedAttemptsBearsNoSignature(String failed) throws Exception {
        addEndpoints(failed, cut(stream(206, "")));
        Answer answer = harness.call("/free/1");
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.header("server-seal")).isEmpty();
    }

    @Test
    void anAnswerThatArrivesAfterItsAttemptWasGivenUpReachesNobody() throws Exception {
        CountDownLatch nextAttempt = new CountDownLatch(1);
        KeptConnectionEndpoint.Behavior behavior =
                (request, socket) -> {
                    if (requestCount.getAndIncrement() == 0) {
                        RawEndpoint.write(socket, stream(201, SECOND).replace(SECOND, ""));
                        nextAttempt.await();
                        RawEndpoint.write(socket, SECOND);
                    } else {
                        nextAttempt.countDown();
                        Thread.sleep(LATE_MILLIS);
                        RawEndpoint.write(socket, stream(206, FIRST));
                    }
                };
        for (String id : ENDPOINTS) {
            KeptConnectionEndpoint.add(harness, "llm", id, behavior);
        }
        configure();
        Answer answer = harness.call("/free/1");
        assertThat(answer.status()).isEqualTo(206);
        assertThat(answer.header("server-seal")).isEqualTo("seal-206");
        assertThat(answer.body()).isEqualTo(FIRST);
    }

    @Test
    void aResumedStreamKeepsTheStatusAndSignatureOfItsFirstAttempt() throws Exception {
        addEndpoints(cut(stream(201, FIRST)), stream(206, SECOND));
        Answer answer = harness.call("/free/1");
        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.header("server-seal")).isEqualTo("seal-201");
        assertThat(answer.body()).isEqualTo(FIRST + SECOND);
    }

    private static Stream<Arguments> failedAttemptsWithTheNext() {
        return failedAttempts()
                .flatMap(failed -> replies().map(next -> Arguments.of(failed, next)));
    }

    /** Returns answers of attempts that fail after their head and before their first event. */
    private static Stream<String> failedAttempts() {
        return Stream.of(
                whole(500, "failed"), cut(stream(201, COMMENT)), stream(201, "no event\n\n"));
    }

    private static Stream<Reply> replies() {
        return Stream.of(
                new Reply(206, FIRST, stream(206, FIRST)),
                new Reply(206, COMMENT, stream(206, COMMENT)),
                new Reply(202, "done", whole(202, "done")),
                new Reply(507, "full", whole(507, "full")));
    }

    /** Holds an answer and what a caller must get of it. */
    private record Reply(int status, String body, String bytes) {}

    /** Gives the answers to the requests in the order of their arrival. */
    private void addEndpoints(String... answers) throws Exception {
        for (String id : ENDPOINTS) {
            harness.addRawEndpoint(
                    "llm",
                    id,
                    socket -> RawEndpoint.write(socket, answers[requestCount.getAndIncrement()]));
        }
        configure();
    }

    private void configure() throws Exception {
        harness.configureAndAwaitReady();
        harness.store().putConfiguration(CONFIG);
        while (harness.call("/free/1", "unknown").status() != 401) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static String stream(int status, String events) {
        return answer(
                status,
                "content-type: text/event-stream\r\ncontent-length: " + events.length(),
                events);
    }

    private static String whole(int status, String body) {
        return answer(status, "content-length: " + body.length(), body);
    }

    /** Returns the answer with a length that its bytes do not reach. */
    private static String cut(String answer) {
        return answer.replaceFirst("content-length: ", "content-length: 1");
    }

    private static String answer(int status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nrequest-id: request-1\r\nserver-seal: seal-"
                + status
                + "\r\n"
                + headers
                + "\r\n\r\n"
                + body;
    }
}

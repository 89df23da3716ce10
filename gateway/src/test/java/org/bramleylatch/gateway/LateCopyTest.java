package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Behavior;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against taking a late copy of an earlier answer for the answer to the request that follows
 * on its connection: the caller was told "not run" while the endpoint ran the request.
 */
class LateCopyTest {
    private static final String NOT_RUN = "not-executed: 1\r\n";

    private final GatewayHarness harness = new GatewayHarness();
    private final List<KeptConnectionEndpoint> endpoints = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() throws IOException {
        for (KeptConnectionEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        harness.stop();
    }

    @Test
    void aCopyOfARefusalWithoutAnIdNeverAnswersTheNextRequest() throws Exception {
        assertThatACopyAnswersNothing(refusal(503, ""), "request-2");
    }

    @Test
    void aCopyOfARefusalNeverAnswersARequestWithTheSameId() throws Exception {
        assertThatACopyAnswersNothing(refusal(503, id("request-1")), "request-1");
    }

    @Test
    void aCopyOfARateLimitedRefusalNeverAnswersTheNextRequest() throws Exception {
        assertThatACopyAnswersNothing(refusal(429, ""), "request-2");
    }

    @Test
    void aConnectionThatHasCarriedARefusalCarriesNoFurtherRequest() throws Exception {
        KeptConnectionEndpoint endpoint =
                addEndpoint((request, socket) -> RawEndpoint.write(socket, refusalOf(request)));
        for (int call = 1; call <= 5; call++) {
            harness.callWithId("/chat/1", "request-" + call);
        }
        assertThat(endpoint.requests()).extracting(Request::use).containsOnly(1);
    }

    @Test
    void aConnectionThatHasCarriedACopyBehindARefusalInOneSegmentCarriesNoFurtherRequest()
            throws Exception {
        KeptConnectionEndpoint endpoint =
                addEndpoint(
                        (request, socket) ->
                                RawEndpoint.write(socket, refusalOf(request) + refusalOf(request)));
        for (int call = 1; call <= 5; call++) {
            harness.callWithId("/chat/1", "request-" + call);
        }
        assertThat(endpoint.requests()).extracting(Request::use).containsOnly(1);
    }

    @Test
    void aRefusalWithoutAnIdOnAUsedConnectionDoesNotSayThatTheRequestDidNotRun() throws Exception {
        addEndpointThatWritesBeforeTheSecondAnswer(refusal(503, ""));
        harness.callWithId("/chat/1", "request-1");
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(502);
    }

    @Test
    void aRefusalWithoutAnIdOnANewConnectionSaysThatTheRequestDidNotRun() throws Exception {
        addEndpoint((request, socket) -> RawEndpoint.write(socket, refusal(503, "")));
        assertThat(harness.call("/chat/1").status()).isEqualTo(503);
    }

    @Test
    void aRefusalWithTheRequestsIdOnAUsedConnectionSaysThatTheRequestDidNotRun() throws Exception {
        addEndpointThatWritesBeforeTheSecondAnswer(refusal(503, id("request-2")));
        harness.callWithId("/chat/1", "request-1");
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(503);
    }

    @Test
    void anEndpointIsNotReplacedOnTheWordOfACopy() throws Exception {
        addEndpointThatWritesBeforeTheSecondAnswer(refusal(421, ""));
        harness.callWithId("/chat/1", "request-1");
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(502);
        assertThat(harness.callWithId("/chat/1", "request-3").status()).isEqualTo(200);
    }

    @ParameterizedTest
    @ValueSource(ints = {302, 404, 408})
    void anAnswerWithoutAnIdOnAUsedConnectionIsNotPassedOn(int status) throws Exception {
        addEndpointThatWritesBeforeTheSecondAnswer(whole(status, ""));
        harness.callWithId("/chat/1", "request-1");
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(502);
    }

    @Test
    void aRequestThatMayBeRepeatedGoesToAnotherEndpointAfterACopy() throws Exception {
        AtomicBoolean copied = new AtomicBoolean();
        Behavior behavior =
                (request, socket) -> {
                    if (request.use() > 1 && copied.compareAndSet(false, true)) {
                        RawEndpoint.write(socket, whole(404, ""));
                        Thread.sleep(50);
                    }
                    RawEndpoint.write(socket, stream(request));
                };
        endpoints.add(KeptConnectionEndpoint.add(harness, "llm", "i-2", behavior));
        addEndpoint(behavior);
        for (int call = 1; call <= 4; call++) {
            assertThat(harness.callWithId("/chat/1", "request-" + call).status()).isEqualTo(200);
        }
        assertThat(copied).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {302, 404, 500})
    void anAnswerWithAnotherIdIsNotPassedOnAndItsConnectionIsClosed(int status) throws Exception {
        KeptConnectionEndpoint endpoint =
                addEndpointThatWritesBeforeTheSecondAnswer(whole(status, id("request-1")));
        harness.callWithId("/chat/1", "request-1");
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(502);
        assertThat(harness.callWithId("/chat/1", "request-3").status()).isEqualTo(200);
        assertThat(endpoint.requests()).extracting(Request::use).containsExactly(1, 2, 1);
    }

    @ParameterizedTest
    @ValueSource(ints = {302, 404, 500})
    void aConnectionThatHasCarriedAFailureCarriesNoFurtherRequest(int status) throws Exception {
        KeptConnectionEndpoint endpoint =
                addEndpoint(
                        (request, socket) ->
                                RawEndpoint.write(socket, whole(status, id(request.id()))));
        GatewayHarness.Answer answer = harness.callWithId("/chat/1", "request-1");
        harness.callWithId("/chat/1", "request-2");
        assertThat(answer.status()).isEqualTo(status);
        assertThat(answer.body()).isEqualTo("no");
        assertThat(endpoint.requests()).extracting(Request::use).containsOnly(1);
    }

    @Test
    void aConnectionThatHasCarriedASuccessCarriesTheNextRequest() throws Exception {
        KeptConnectionEndpoint endpoint =
                addEndpoint((request, socket) -> RawEndpoint.write(socket, stream(request)));
        harness.callWithId("/chat/1", "request-1");
        harness.callWithId("/chat/1", "request-2");
        assertThat(endpoint.requests()).extracting(Request::use).containsExactly(1, 2);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void aStatusThatPromisesNotRunIsNotPassedOnWithoutTheEndpointsStatement(int status)
            throws Exception {
        addEndpoint(
                (request, socket) -> RawEndpoint.write(socket, whole(status, id(request.id()))));
        assertThat(harness.call("/chat/1").status()).isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(ints = {102, 199})
    void anInterimAnswerIsNotPassedOn(int status) throws Exception {
        addEndpoint(
                (request, socket) -> {
                    RawEndpoint.write(
                            socket,
                            "HTTP/1.1 " + status + " Interim\r\n" + id("request-1") + "\r\n");
                    Thread.sleep(50);
                    RawEndpoint.write(socket, stream(request));
                });
        assertThat(harness.call("/chat/1").status()).isEqualTo(502);
    }

    private KeptConnectionEndpoint addEndpointThatWritesBeforeTheSecondAnswer(String bytes)
            throws Exception {
        return addEndpoint(
                (request, socket) -> {
                    if (request.use() == 2) {
                        RawEndpoint.write(socket, bytes);
                        Thread.sleep(50);
                    }
                    RawEndpoint.write(socket, stream(request));
                });
    }

    /** Refuses the first request; writes a copy after the next one arrived on its connection. */
    private void assertThatACopyAnswersNothing(String refusal, String nextId) throws Exception {
        addEndpoint(
                (request, socket) -> {
                    if (request.use() > 1) {
                        RawEndpoint.write(socket, refusal);
                        Thread.sleep(50);
                    }
                    RawEndpoint.write(socket, isFirst(request) ? refusal : stream(request));
                });
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(503);
        assertThat(harness.callWithId("/chat/1", nextId).status()).isEqualTo(200);
    }

    private KeptConnectionEndpoint addEndpoint(Behavior behavior) throws Exception {
        KeptConnectionEndpoint endpoint =
                KeptConnectionEndpoint.add(harness, "llm", "i-1", behavior);
        endpoints.add(endpoint);
        harness.configureForABusyMachineAndAwaitReady();
        return endpoint;
    }

    private static boolean isFirst(Request request) {
        return request.connection() == 1 && request.use() == 1;
    }

    private static String refusalOf(Request request) {
        return refusal(503, id(request.id()));
    }

    private static String refusal(int status, String headers) {
        return whole(status, NOT_RUN + headers);
    }

    private static String whole(int status, String headers) {
        return "HTTP/1.1 " + status + " Status\r\n" + headers + "content-length: 2\r\n\r\nno";
    }

    private static String stream(Request request) {
        String event = GatewayHarness.event(1);
        return "HTTP/1.1 200 OK\r\nserver-seal: seal-1\r\ncontent-type: text/event-stream\r\n"
                + id(request.id())
                + "content-length: "
                + event.length()
                + "\r\n\r\n"
                + event;
    }

    private static String id(String requestId) {
        return "request-id: " + requestId + "\r\n";
    }
}

package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Behavior;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against sending a request over a connection on which bytes of an earlier answer remain.
 */
class ConnectionReuseTest {
    private static final String EVENT = GatewayHarness.event(1);

    private final GatewayHarness harness = new GatewayHarness();
    private KeptConnectionEndpoint endpoint;

    @BeforeEach
    void start() throws Exception {
        harness.start();
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        harness.stop();
    }

    @Test
    void aConnectionWithBytesBehindASuccessInOneSegmentCarriesNoFurtherRequest() throws Exception {
        addEndpoint("llm", (request, socket) -> write(socket, success(request) + success(request)));
        assertThat(callTwice("/chat/1")).containsExactly(200, 200);
        assertThat(endpoint.requests()).extracting(Request::use).containsOnly(1);
    }

    @Test
    void aConnectionOnWhichBytesArriveWhileItIsIdleCarriesNoFurtherRequest() throws Exception {
        addEndpoint(
                "llm",
                (request, socket) -> {
                    write(socket, success(request));
                    Thread.sleep(50);
                    write(socket, success(request));
                });
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(200);
        Thread.sleep(200);
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(200);
        assertThat(endpoint.requests()).extracting(Request::use).containsOnly(1);
    }

    @Test
    void aCopyOfASuccessAheadOfTheAnswerInOneSegmentIsNotPassedOn() throws Exception {
        addEndpoint(
                "llm",
                (request, socket) ->
                        write(
                                socket,
                                request.use() == 1
                                        ? success(request)
                                        : success(new Request("request-1", 1, 1))
                                                + success(request)));
        assertThat(callTwice("/chat/1")).containsExactly(200, 502);
        assertThat(harness.callWithId("/chat/1", "request-3").status()).isEqualTo(200);
        assertThat(endpoint.requests()).extracting(Request::use).containsExactly(1, 2, 1);
    }

    @Test
    void aRequestThatMayRunOnceAlwaysGetsANewConnection() throws Exception {
        addEndpoint(
                "app",
                (request, socket) ->
                        write(socket, success(request).replace("text/event-stream", "text/plain")));
        assertThat(callTwice("/orders/1")).containsExactly(200, 200);
        assertThat(endpoint.requests()).extracting(Request::use).containsExactly(1, 1);
    }

    @Test
    void aConnectionThatTheEndpointAnnouncesToCloseCarriesNoFurtherRequest() throws Exception {
        addEndpoint(
                "llm",
                (request, socket) ->
                        write(
                                socket,
                                success(request)
                                        .replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n")));
        assertThat(callTwice("/chat/1")).containsExactly(200, 200);
        assertThat(endpoint.requests()).extracting(Request::use).containsExactly(1, 1);
    }

    @Test
    void anInterimContinueAheadOfTheAnswerIsReadOver() throws Exception {
        addEndpoint(
                "llm",
                (request, socket) ->
                        write(socket, "HTTP/1.1 100 Continue\r\n\r\n" + success(request)));
        assertThat(callTwice("/chat/1")).containsExactly(200, 200);
        assertThat(endpoint.requests()).extracting(Request::use).containsExactly(1, 2);
    }

    private int[] callTwice(String path) throws Exception {
        int first = harness.callWithId(path, "request-1").status();
        return new int[] {first, harness.callWithId(path, "request-2").status()};
    }

    private void addEndpoint(String service, Behavior behavior) throws Exception {
        endpoint = KeptConnectionEndpoint.add(harness, service, "i-1", behavior);
        harness.configureAndAwaitReady();
    }

    private static void write(Socket socket, String bytes) throws IOException {
        RawEndpoint.write(socket, bytes);
    }

    private static String success(Request request) {
        return "HTTP/1.1 200 OK\r\nserver-seal: seal-1\r\ncontent-type: text/event-stream\r\n"
                + "request-id: "
                + request.id()
                + "\r\ncontent-length: "
                + EVENT.length()
                + "\r\n\r\n"
                + EVENT;
    }
}

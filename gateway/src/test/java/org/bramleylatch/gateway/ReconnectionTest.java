package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.bramleylatch.gateway.KeptConnectionEndpoint.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against places of the pool that are lost with the connections that it replaces. */
class ReconnectionTest {
    private static final int POOL_CONNECTIONS = 128;
    private static final int CALLERS = 16;
    private static final String EVENT = GatewayHarness.event(1);

    private final GatewayHarness harness = new GatewayHarness();
    private KeptConnectionEndpoint endpoint;

    @BeforeEach
    void start() throws Exception {
        harness.start();
        endpoint = KeptConnectionEndpoint.add(harness, "llm", "i-1", ReconnectionTest::answer);
        harness.configureForABusyMachineAndAwaitReady();
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        harness.stop();
    }

    @Test
    void aReplacedConnectionGivesItsPlaceInThePoolBack() throws Exception {
        for (int call = 1; call <= POOL_CONNECTIONS + 10; call++) {
            assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(200);
        }
        assertThat(endpoint.requests()).extracting(Request::use).containsOnly(1);
    }

    @Test
    void aCallerThatUsesOneIdLeavesTheConnectionsOfOthersOpen() throws Exception {
        harness.callWithId("/chat/1", "request-1");
        harness.callWithId("/chat/1", "request-1");
        harness.callWithId("/chat/1", "request-2");
        assertThat(endpoint.requests()).extracting(Request::connection).containsExactly(1, 2, 1);
    }

    @Test
    void aConnectionThatHasCarriedAsManyRequestsAsItRemembersCloses() throws Exception {
        for (int call = 1; call <= POOL_CONNECTIONS + 1; call++) {
            assertThat(harness.callWithId("/chat/1", "request-" + call).status()).isEqualTo(200);
        }
        assertThat(endpoint.requests())
                .extracting(Request::connection)
                .startsWith(1, 1)
                .endsWith(1, 2);
    }

    @Test
    void callersThatUseOneIdAtTheSameTimeShareNoConnection() throws Exception {
        List<CompletableFuture<Integer>> calls = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            calls.add(CompletableFuture.supplyAsync(this::callWithTheSameId));
        }
        for (CompletableFuture<Integer> call : calls) {
            call.get();
        }
        assertThat(endpoint.requests().stream().collect(Collectors.groupingBy(Request::connection)))
                .allSatisfy((connection, requests) -> assertThat(requests).hasSize(1));
        assertThat(harness.callWithId("/chat/1", "request-2").status()).isEqualTo(200);
    }

    @Test
    void aRequestWhoseEndpointRefusesTheNewConnectionDidNotRun() throws Exception {
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(200);
        endpoint.close();
        assertThat(harness.callWithId("/chat/1", "request-1").status()).isEqualTo(503);
        assertThat(endpoint.requests()).hasSize(1);
    }

    private int callWithTheSameId() {
        try {
            return harness.callWithId("/chat/1", "request-1").status();
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static void answer(Request request, Socket socket) throws IOException {
        RawEndpoint.write(socket, AnswerText.success(request.id(), EVENT));
    }
}

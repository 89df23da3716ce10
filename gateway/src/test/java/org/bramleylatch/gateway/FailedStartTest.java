package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletionException;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FailedStartTest {
    private final GatewayHarness harness = new GatewayHarness();

    @AfterEach
    void stop() {
        harness.stop();
    }

    // Guards against requests that are sent to a process whose start fails, and end without an
    // answer.
    @ParameterizedTest
    @ValueSource(strings = {"readiness", "peers"})
    void aGatewayThatCannotTakeAnotherOfItsPortsTakesNoCaller(String takenPort) throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket taken = new ServerSocket(0, 1, loopback)) {
            int callerPort = freePort();
            assertThatThrownBy(
                            () ->
                                    harness.start(
                                            address(callerPort),
                                            address(portOf(takenPort, "readiness", taken)),
                                            address(portOf(takenPort, "peers", taken))))
                    .isInstanceOf(CompletionException.class);
            assertThatThrownBy(() -> new Socket(loopback, callerPort).close())
                    .isInstanceOf(ConnectException.class);
        }
    }

    private static int portOf(String takenPort, String name, ServerSocket taken) {
        return takenPort.equals(name) ? taken.getLocalPort() : 0;
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Address address(int port) {
        return new Address(GatewayHarness.LOOPBACK, port);
    }
}

package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.net.Socket;
import java.nio.file.Path;
import org.bramleylatch.edge.ProcessExit;
import org.bramleylatch.platform.LoopbackStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that is asked to stop as it begins to listen, and that then ends without
 * answering its callers.
 */
class EarlyStopTest {
    private static final String REQUEST =
            """
            POST /orders/1 HTTP/1.1\r
            host: ropes.example\r
            request-id: request-1\r
            deadline-ms: 10000\r
            content-length: 4\r
            \r
            body""";

    @TempDir Path folder;
    private final Vertx vertx = Vertx.vertx();
    private final SoakWorld world = new SoakWorld(vertx, 1);
    private SoakProcess process;

    @AfterEach
    void kill() {
        process.close();
        vertx.close();
    }

    @Test
    @Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aGatewayThatIsStoppedTwiceAsItBeginsToListenAnswersUntilItEndsWithinItsGrace()
            throws Exception {
        process = new SoakProcess(world, folder, LoopbackStore.start(vertx).join().address());
        process.start();
        LastCaller caller = new LastCaller(process.callerPort(), REQUEST);
        Socket first = caller.awaitListening();
        process.retire();
        assertThat(caller.send(first)).startsWith("HTTP/1.1 503");
        process.retire();
        assertThat(caller.findLostUntil(process::hasEnded)).isEmpty();
        assertThat(world.findings()).isEmpty();
        assertThat(world.processes().find(1).orElseThrow().process().exitValue())
                .isEqualTo(ProcessExit.STOPPED_BY_SIGNAL);
    }
}

package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.bramleylatch.bench.Deployment;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against daemons that listen while they exit and read nothing any more. */
class DaemonStopTest {
    private static final long PAID_TOKENS = 60_000;
    private static final String REQUEST = "GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n";

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"admin", "keeper", "router"})
    @Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aDaemonThatIsStoppedAnswersItsCallersUntilItIsGone(String name) throws Exception {
        try (Deployment deployment = Deployment.in(folder)) {
            deployment.startEngine("engine-1", "langnau", "v1").startOneEntryVm(PAID_TOKENS);
            Process daemon = deployment.process(name);
            LastCaller caller = new LastCaller(deployment.address(name).port(), REQUEST);
            assertThat(caller.send(caller.awaitListening())).startsWith("HTTP/1.1 200");
            deployment.signal(name, "TERM");
            assertThat(caller.findLostUntil(() -> !daemon.isAlive())).isEmpty();
            assertThat(daemon.exitValue()).isEqualTo(128 + 15);
        }
    }
}

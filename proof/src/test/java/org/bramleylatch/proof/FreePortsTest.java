package org.bramleylatch.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.bramleylatch.bench.FreePorts;
import org.junit.jupiter.api.Test;

class FreePortsTest {
    private static final int PORTS = 1_000;

    /**
     * Guards against two processes of a deployment that get the same port before either listens.
     */
    @Test
    void noPortIsPickedTwice() {
        assertThat(IntStream.range(0, PORTS).mapToObj(index -> FreePorts.pick("127.0.0.1")))
                .doesNotHaveDuplicates();
    }
}

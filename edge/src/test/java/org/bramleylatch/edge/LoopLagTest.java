package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class LoopLagTest {
    private long nowMillis = 1_000;
    private final LoopLag lag = new LoopLag(() -> Instant.ofEpochMilli(nowMillis));

    @Test
    void aLoopThatIsOnTimeHasNoLag() {
        tickAfter(100);
        tickAfter(100);
        nowMillis += 60;
        assertThat(lag.millis()).isZero();
    }

    @Test
    void aLoopWhoseTimerIsOverdueIsBehindBeforeTheTimerFires() {
        tickAfter(100);
        nowMillis += 900;
        assertThat(lag.millis()).isEqualTo(800);
    }

    @Test
    void messagesReadInThePassAfterALongOneCountAsLate() {
        tickAfter(100);
        tickAfter(900);
        assertThat(lag.millis()).isEqualTo(800);
        tickAfter(100);
        assertThat(lag.millis()).isZero();
    }

    private void tickAfter(long millis) {
        nowMillis += millis;
        lag.tick();
    }
}

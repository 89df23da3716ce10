package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {

    @Test
    void oneFailureToConnectKeepsWorkAwayForAMoment() {
        EndpointHealth health = EndpointHealth.good().unreachable(1_000);
        assertThat(health.admits(1_100, 0)).isFalse();
        assertThat(health.admits(1_500, 0)).isTrue();
    }

    @Test
    void anEndpointThatFailedIsTriedWithOneRequestAtATime() {
        EndpointHealth health = EndpointHealth.good().unreachable(1_000);
        assertThat(health.admits(1_500, 1)).isFalse();
        assertThat(EndpointHealth.good().admits(1_500, 1)).isTrue();
    }
}

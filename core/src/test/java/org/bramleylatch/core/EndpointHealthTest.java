package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {

    @Test
    void oneFailedConnectionEjectsAnEndpointForAShortTime() {
        EndpointHealth health = EndpointHealth.healthy().connectionFailed(1_000);
        assertThat(health.acceptsWork(1_100, 0)).isFalse();
        assertThat(health.acceptsWork(1_500, 0)).isTrue();
    }

    @Test
    void anEndpointThatFailedGetsOneRequestAtATime() {
        EndpointHealth health = EndpointHealth.healthy().connectionFailed(1_000);
        assertThat(health.acceptsWork(1_500, 1)).isFalse();
        assertThat(EndpointHealth.healthy().acceptsWork(1_500, 1)).isTrue();
    }
}

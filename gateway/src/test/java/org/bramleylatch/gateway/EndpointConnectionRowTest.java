package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a connection that carries an id twice, or remembers ids without a bound. */
class EndpointConnectionRowTest {
    private static final int MAX_REQUESTS = 128;

    @Test
    void aConnectionCarriesEachIdOnce() {
        EndpointConnectionRow row = EndpointConnectionRow.unused(1).withRequest("request-1");
        assertThat(row.mayCarry("request-1")).isFalse();
        assertThat(row.mayCarry("request-2")).isTrue();
    }

    @Test
    void aConnectionCarriesNoMoreRequestsThanItRemembers() {
        EndpointConnectionRow row = EndpointConnectionRow.unused(1);
        for (int request = 1; request <= MAX_REQUESTS; request++) {
            assertThat(row.mayCarry("request-" + request)).isTrue();
            row = row.withRequest("request-" + request);
        }
        assertThat(row.mayCarry("another")).isFalse();
        assertThat(row.latestUse()).isEqualTo(new ConnectionUse(1, MAX_REQUESTS));
    }
}

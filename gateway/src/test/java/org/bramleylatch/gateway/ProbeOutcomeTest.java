package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import org.bramleylatch.core.RouterInput.EndpointProbed.Outcome;
import org.junit.jupiter.api.Test;

class ProbeOutcomeTest {
    @Test
    void aRefusedConnectionShowsThatTheEndpointHasEnded() {
        assertThat(EndpointProber.outcomeOf(new ConnectException("Connection refused")))
                .isEqualTo(Outcome.REFUSED);
    }

    @Test
    void aConnectionThatTimesOutOrHasNoPathShowsThatTheEndpointIsUnreachable() {
        assertThat(EndpointProber.outcomeOf(new ConnectTimeoutException("timed out")))
                .isEqualTo(Outcome.UNREACHABLE);
        assertThat(EndpointProber.outcomeOf(new NoRouteToHostException("no route")))
                .isEqualTo(Outcome.UNREACHABLE);
    }

    @Test
    void aFailureOfThisProcessShowsNothingAboutTheEndpoint() {
        assertThat(EndpointProber.outcomeOf(new SocketException("Too many open files")))
                .isEqualTo(Outcome.NOT_TRIED);
    }
}

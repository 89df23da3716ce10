package org.bramleylatch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.concurrent.TimeoutException;
import org.bramleylatch.core.RouterInput.AttemptFailed.Cause;
import org.junit.jupiter.api.Test;

/** Guards against a VM that is late and takes its own lateness for a refusal (issue 50). */
class ConnectionFailureTest {
    @Test
    void aConnectionThatTimesOutIsToldFromOneThatIsRefused() {
        assertThat(EndpointClient.causeOfDirectFailure(new ConnectTimeoutException("timed out")))
                .isEqualTo(Cause.CONNECT_TIMED_OUT);
        assertThat(EndpointClient.causeOfDirectFailure(new TimeoutException("timed out")))
                .isEqualTo(Cause.CONNECT_TIMED_OUT);
    }

    @Test
    void aConnectionThatIsRefusedOrHasNoPathHasNotTimedOut() {
        assertThat(EndpointClient.causeOfDirectFailure(new ConnectException("refused")))
                .isEqualTo(Cause.NOT_CONNECTED);
        assertThat(EndpointClient.causeOfDirectFailure(new NoRouteToHostException("no route")))
                .isEqualTo(Cause.NOT_CONNECTED);
    }
}

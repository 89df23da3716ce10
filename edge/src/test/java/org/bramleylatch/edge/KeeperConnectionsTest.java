package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.time.InstantSource;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.wire.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against routers that reach no keeper of another VM, so that each budget has one lender.
 */
class KeeperConnectionsTest {
    private static final long AWAIT_SECONDS = 10;
    private static final String LOOPBACK = "127.0.0.1";
    private static final Incarnation KEEPER = Incarnation.of("keeper@vm-2");
    private static final Incarnation ROUTER = Incarnation.of("router@vm-1");

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HybridLogicalClock clock = new HybridLogicalClock(InstantSource.system());
    private final BlockingQueue<RouterInput> inputs = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void aRouterReachesTheKeeperOfAnotherVm() throws Exception {
        RouterConnections server = new RouterConnections(vertx, KEEPER, clock, input -> {});
        int port =
                vertx.createHttpServer()
                        .requestHandler(server::handle)
                        .listen(0, LOOPBACK)
                        .await(AWAIT_SECONDS, TimeUnit.SECONDS)
                        .actualPort();
        KeeperConnections connections = new KeeperConnections(vertx, ROUTER, clock, inputs::add);
        vertx.runOnContext(ready -> connections.connect(new Address(LOOPBACK, port)));
        assertThat(inputs.poll(AWAIT_SECONDS, TimeUnit.SECONDS))
                .isEqualTo(new RouterInput.KeeperUp(KEEPER));
    }
}

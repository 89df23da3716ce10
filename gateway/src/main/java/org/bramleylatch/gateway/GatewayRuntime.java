package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.bramleylatch.edge.LinkMeter;
import org.bramleylatch.edge.LinkUse;
import org.bramleylatch.platform.BootFile;

/**
 * Holds the runtime that all parts of a gateway share.
 *
 * @param vertx the runtime, with one event loop
 * @param linkMeter counts the bytes of its connections
 */
record GatewayRuntime(Vertx vertx, LinkMeter linkMeter) {

    /** Creates a runtime whose connections are counted by what they are used for. */
    static GatewayRuntime create(BootFile boot) {
        int callerPort = boot.callerAddress().port();
        LinkMeter linkMeter =
                new LinkMeter(port -> port == callerPort ? LinkUse.CALLERS : LinkUse.PEERS);
        VertxOptions options =
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1);
        Vertx vertx =
                Vertx.builder().with(LinkMeter.reportTo(options)).withMetrics(linkMeter).build();
        return new GatewayRuntime(vertx, linkMeter);
    }
}

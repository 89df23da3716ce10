package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.platform.BootFile;
import org.bramleylatch.platform.Bounds;
import org.bramleylatch.wire.Address;

/**
 * Runs a gateway on loopback for a moment, so that the build can archive the classes that a start
 * loads. A router that starts from the archive is back sooner after its VM lost power.
 */
final class Rehearsal {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long KEEP_MILLIS = 20_000;
    private static final long GRACE_MILLIS = 1_000;
    private static final long RUN_MILLIS = 1_500;
    private static final int ANY_PORT = 0;
    private static final int NOBODY_LISTENS = 1;

    private Rehearsal() {}

    /** Starts a gateway, asks it a few things and returns. */
    static void run(GatewaySettings settings) throws InterruptedException {
        Address any = new Address(LOOPBACK, ANY_PORT);
        BootFile boot =
                new BootFile(
                        "rehearsal",
                        Zone.of("rehearsal"),
                        any,
                        any,
                        any,
                        new Address(LOOPBACK, NOBODY_LISTENS),
                        KEEP_MILLIS,
                        new Bounds(GRACE_MILLIS, 0, 0, 0));
        GatewayDaemon daemon = GatewayDaemon.start(MonotonicClock.system(), boot, settings).join();
        HttpClient client = Vertx.vertx().createHttpClient();
        daemon.ports().forEach(port -> ask(client, port));
        TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
    }

    private static void ask(HttpClient client, int port) {
        List<String> paths = List.of("/ready", "/metrics", "/healthz");
        paths.forEach(path -> ask(client, port, path).join());
    }

    private static CompletableFuture<Integer> ask(HttpClient client, int port, String path) {
        return client.request(HttpMethod.GET, port, LOOPBACK, path)
                .compose(request -> request.putHeader("request-id", "rehearsal").send())
                .compose(answer -> answer.body().map(body -> answer.statusCode()))
                .toCompletionStage()
                .toCompletableFuture();
    }
}

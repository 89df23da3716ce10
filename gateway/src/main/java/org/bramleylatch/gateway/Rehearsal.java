package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.Zone;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.platform.BootFile;
import org.bramleylatch.platform.LoopbackPlatform;
import org.bramleylatch.platform.PlatformLimits;
import org.bramleylatch.wire.Address;

/**
 * Runs two gateways on loopback for a few seconds, so that the build can archive the classes that a
 * start and the first requests load (class data sharing). The archive shortens the restart of a
 * router after its VM has lost power.
 */
final class Rehearsal {
    private static final String LOOPBACK = "127.0.0.1";
    private static final List<String> VMS = List.of("front-a", "front-b");
    private static final long LOG_RETENTION_MILLIS = 20_000;
    private static final long GRACE_MILLIS = 1_500;
    private static final PlatformLimits LIMITS =
            new PlatformLimits(GRACE_MILLIS, 200, 56, 10_000, 750, 0);

    /** Long enough for a configuration, a grant and a snapshot to pass through the store. */
    private static final long SETTLE_MILLIS = 1_500;

    /** Far longer than any call on loopback takes. */
    private static final long AWAIT_TIMEOUT_SECONDS = 10;

    private static final int ROUNDS = 3;
    private static final int ANY_PORT = 0;

    private Rehearsal() {}

    /**
     * Starts the gateways one after the other, sends requests through them and stops the last.
     *
     * @throws java.util.concurrent.CompletionException if a call does not complete in time
     */
    static void run(GatewaySettings settings) throws InterruptedException, IOException {
        LoopbackPlatform platform = LoopbackPlatform.start(Vertx.vertx()).join();
        for (String vm : VMS) {
            GatewayDaemon daemon =
                    GatewayDaemon.start(MonotonicClock.system(), bootFile(vm, platform), settings)
                            .join();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            for (int round = 0; round < ROUNDS; round++) {
                platform.callerPaths()
                        .forEach(
                                path ->
                                        await(
                                                platform.sendCallerRequest(
                                                        callerPort(daemon), path)));
                daemon.ports().forEach(port -> await(platform.probe(port, "/ready")));
                daemon.ports().forEach(port -> await(platform.probe(port, "/metrics")));
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            if (vm.equals(VMS.get(VMS.size() - 1))) {
                await(daemon.stop());
            }
        }
    }

    private static int callerPort(GatewayDaemon daemon) {
        return daemon.ports().get(0);
    }

    /** Waits for a bounded time, so that a fault fails the build instead of blocking it. */
    private static void await(CompletableFuture<?> done) {
        done.orTimeout(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private static BootFile bootFile(String vm, LoopbackPlatform platform) throws IOException {
        Address anyPort = new Address(LOOPBACK, ANY_PORT);
        return new BootFile(
                vm,
                Zone.of("langnau"),
                anyPort,
                anyPort,
                new Address(LOOPBACK, freePort()),
                OptionalInt.empty(),
                platform.storeAddress(),
                LOG_RETENTION_MILLIS,
                LIMITS);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(ANY_PORT)) {
            return socket.getLocalPort();
        }
    }
}

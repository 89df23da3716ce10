package org.bramleylatch.keeper;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperSystems;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.edge.Daemon;
import org.bramleylatch.edge.FailureLog;
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.edge.HybridLogicalClock;
import org.bramleylatch.edge.LedgerStream;
import org.bramleylatch.edge.MonitoringHandlers;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.edge.RouterConnections;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.edge.Timeline;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.Settings;

/** Runs a keeper: connects its world to routers, endpoints and the platform. */
public final class KeeperDaemon {
    private final Vertx vertx;
    private final Context context;
    private final Timeline timeline;
    private final KeeperMetrics metrics;
    private final TickLoop<KeeperInput, KeeperOutput, KeeperWorld> loop;
    private final RouterConnections routerConnections;
    private final LedgerStream ledgerStream;
    private final AttemptUsageClient usageClient;
    private final MessageHandlers<KeeperOutput> handlers;
    private final Settings settings;
    private final Incarnation self;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private KeeperDaemon(Vertx vertx, Settings settings) {
        InstantSource clock = InstantSource.system();
        HybridLogicalClock hybridClock = new HybridLogicalClock(clock);
        PlatformClient platform = new PlatformClient(vertx, settings.platform());
        this.vertx = vertx;
        this.settings = settings;
        this.context = vertx.getOrCreateContext();
        this.self = RandomIds.newIncarnation("keeper", settings.vm());
        this.timeline =
                new Timeline(
                        vertx,
                        "keeper",
                        self,
                        settings.zone(),
                        clock,
                        hybridClock,
                        settings.timelineFile());
        this.metrics = new KeeperMetrics(registry);
        KeeperLimits limits =
                KeeperLimits.standalone()
                        .withSnapshotEveryRecords(settings.snapshotEveryRecords())
                        .withRetryGraceMillis(settings.retryGraceMillis());
        GrantPolicy policy =
                GrantPolicy.byDemand(settings.horizonHours(), settings.smallestGrantTokens());
        this.loop =
                new TickLoop<>(
                        vertx,
                        context,
                        clock,
                        KeeperWorld.of(self),
                        KeeperSystems.schedule(policy, limits, FailureLog.handler()),
                        this::handleOutput,
                        (output, detail) -> Optional.empty());
        this.routerConnections = new RouterConnections(vertx, self, hybridClock, loop::offer);
        this.ledgerStream =
                new LedgerStream(
                        platform, self, update -> loop.offer(new KeeperInput.FromLog(update)));
        this.usageClient = new AttemptUsageClient(vertx, platform, loop::offer);
        this.handlers = handlers();
    }

    /** Starts a keeper; the future fails with PORT_IN_USE if the port is taken. */
    public static CompletableFuture<Daemon.Running> start(Settings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        return new KeeperDaemon(vertx, settings).listen();
    }

    private CompletableFuture<Daemon.Running> listen() {
        Router httpRoutes = Router.router(vertx);
        MonitoringHandlers.mount(httpRoutes, registry, this::isReady);
        httpRoutes
                .get("/ledger")
                .handler(call -> call.response().end(Json.write(loop.world().ledger().snapshot())));
        return HttpServers.listen(
                        vertx, settings.listen(), request -> dispatch(request, httpRoutes))
                .thenApply(this::startStreams);
    }

    private Daemon.Running startStreams(HttpServer server) {
        timeline.write(Event.of(EventKind.PROCESS_STARTED, self, "zone=" + settings.zone()));
        Cancellable logSubscription = ledgerStream.follow(vertx, settings.keepers());
        usageClient.start();
        return () -> stop(server, logSubscription);
    }

    private CompletableFuture<Void> stop(HttpServer server, Cancellable logSubscription) {
        loop.offer(new KeeperInput.StopAsked());
        return stopped.thenRun(logSubscription::cancel)
                .thenRun(
                        () -> {
                            timeline.write(Event.of(EventKind.PROCESS_STOPPED, self, "planned"));
                            timeline.flush();
                        })
                .thenCompose(done -> HttpServers.close(server));
    }

    private void dispatch(HttpServerRequest request, Router httpRoutes) {
        if (routerConnections.isGrpcRequest(request)) {
            routerConnections.handle(request);
        } else {
            httpRoutes.handle(request);
        }
    }

    private boolean isReady() {
        return ledgerStream.isCaughtUp() && !loop.world().isStopping();
    }

    private void handleOutput(KeeperOutput output) {
        if (output instanceof KeeperOutput.ToRouter message) {
            routerConnections.send(message);
        } else {
            handlers.accept(output);
        }
    }

    private MessageHandlers<KeeperOutput> handlers() {
        return MessageHandlers.<KeeperOutput>empty()
                .on(KeeperOutput.AppendBatch.class, batch -> ledgerStream.append(batch.records()))
                .on(KeeperOutput.QueryAttemptUsage.class, usageClient::queryUsage)
                .on(KeeperOutput.Note.class, note -> recordEvent(note.event()))
                .on(KeeperOutput.Stopped.class, done -> stopped.complete(null));
    }

    private void recordEvent(Event event) {
        metrics.countEvent(event.kind());
        timeline.write(event);
    }
}

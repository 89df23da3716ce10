package org.bramleylatch.router;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.Placement;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterLimits;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterSystems;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.edge.ConfigStream;
import org.bramleylatch.edge.Daemon;
import org.bramleylatch.edge.FailureLog;
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.edge.HybridLogicalClock;
import org.bramleylatch.edge.KeeperConnections;
import org.bramleylatch.edge.MonitoringHandlers;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.edge.Timeline;
import org.bramleylatch.wire.Settings;

/** Runs a router: connects its world to callers, endpoints, keepers and the platform. */
public final class RouterDaemon {
    private final Vertx vertx;
    private final Settings settings;
    private final Incarnation self;
    private final Timeline timeline;
    private final TickLoop<RouterInput, RouterOutput, RouterWorld> loop;
    private final CallerServer callerServer;
    private final EndpointClient endpointClient;
    private final KeeperConnections keeperConnections;
    private final ConfigStream configStream;
    private final MessageHandlers<RouterOutput> handlers;
    private final RequestMetrics metrics;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private RouterDaemon(Vertx vertx, Settings settings) {
        InstantSource clock = InstantSource.system();
        HybridLogicalClock hybridClock = new HybridLogicalClock(clock);
        PlatformClient platform = new PlatformClient(vertx, settings.platform());
        this.vertx = vertx;
        this.settings = settings;
        this.self = RandomIds.newIncarnation("router", settings.vm());
        this.timeline =
                new Timeline(
                        vertx,
                        "router",
                        self,
                        settings.zone(),
                        clock,
                        hybridClock,
                        settings.timelineFile());
        this.metrics = new RequestMetrics(registry, "router");
        RouterWorld world =
                RouterWorld.of(self, settings.zone(), () -> AttemptId.of(RandomIds.hexId()));
        this.loop =
                new TickLoop<>(
                        vertx,
                        vertx.getOrCreateContext(),
                        clock,
                        world,
                        RouterSystems.schedule(
                                Placement.byAffinity(),
                                RouterLimits.standalone(),
                                FailureLog.handler()),
                        this::handleOutput,
                        RouterDaemon::failedOutput);
        this.callerServer =
                new CallerServer(clock, settings.mostBodyBytes(), world, loop::offer, metrics);
        this.endpointClient = endpointClient(platform, world);
        this.keeperConnections = new KeeperConnections(vertx, self, hybridClock, loop::offer);
        this.configStream = new ConfigStream(platform);
        this.handlers = handlers();
    }

    private EndpointClient endpointClient(PlatformClient platform, RouterWorld world) {
        return new EndpointClient(
                vertx, platform, callerServer::findExchange, world.endpoints()::has, loop::offer);
    }

    /** Starts a router; the future fails with PORT_IN_USE if the port is taken. */
    public static CompletableFuture<Daemon.Running> start(Settings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        return new RouterDaemon(vertx, settings).listen();
    }

    private CompletableFuture<Daemon.Running> listen() {
        Router httpRoutes = Router.router(vertx);
        MonitoringHandlers.mount(httpRoutes, registry, this::isReady);
        callerServer.mount(httpRoutes);
        return HttpServers.listen(vertx, settings.listen(), httpRoutes)
                .thenApply(this::completeStart);
    }

    private Daemon.Running completeStart(HttpServer server) {
        timeline.write(Event.of(EventKind.PROCESS_STARTED, self, "zone=" + settings.zone()));
        Cancellable configSubscription =
                configStream.follow(
                        received -> loop.offer(new RouterInput.ConfigurationReceived(received)),
                        result -> {});
        endpointClient.startPolling();
        settings.keepers().forEach(keeperConnections::connect);
        return () -> stop(server, configSubscription);
    }

    private CompletableFuture<Void> stop(HttpServer server, Cancellable configSubscription) {
        loop.offer(new RouterInput.StopAsked());
        return stopped.thenRun(configSubscription::cancel)
                .thenRun(
                        () -> {
                            timeline.write(Event.of(EventKind.PROCESS_STOPPED, self, "planned"));
                            timeline.flush();
                        })
                .thenCompose(done -> HttpServers.close(server));
    }

    private boolean isReady() {
        RouterWorld world = loop.world();
        return !world.isStopping() && !world.keepers().isEmpty() && configStream.isCaughtUp();
    }

    private static Optional<RouterInput> failedOutput(RouterOutput output, String detail) {
        return Optional.of(new RouterInput.OutputFailed(output, detail));
    }

    private void handleOutput(RouterOutput output) {
        handlers.accept(output);
    }

    private MessageHandlers<RouterOutput> handlers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.ToKeeper.class, keeperConnections::send)
                .on(RouterOutput.StartAttempt.class, endpointClient::startAttempt)
                .on(
                        RouterOutput.CancelAttempt.class,
                        cancel -> endpointClient.cancelAttempt(cancel.attempt()))
                .on(RouterOutput.PauseAttempt.class, endpointClient::setPaused)
                .on(RouterOutput.Note.class, note -> recordEvent(note.event()))
                .on(RouterOutput.Stopped.class, done -> stopped.complete(null))
                .otherwise(callerServer::handleOutput);
    }

    private void recordEvent(Event event) {
        metrics.countEvent(event.kind());
        timeline.write(event);
    }
}

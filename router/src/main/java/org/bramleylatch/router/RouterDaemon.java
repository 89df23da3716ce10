package org.bramleylatch.router;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.Placement;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterLimits;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterSystems;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.edge.ConfigStream;
import org.bramleylatch.edge.Daemon;
import org.bramleylatch.edge.HybridClock;
import org.bramleylatch.edge.Incarnations;
import org.bramleylatch.edge.KeeperLinks;
import org.bramleylatch.edge.Ops;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.edge.Servers;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.edge.Timeline;
import org.bramleylatch.wire.Settings;

/** Connects a router's world to callers, endpoints, keepers and the platform. */
public final class RouterDaemon {
    private final Vertx vertx;
    private final Settings settings;
    private final Incarnation self;
    private final Timeline timeline;
    private final TickLoop<RouterInput, RouterOutput, RouterWorld> loop;
    private final Callers callers;
    private final Endpoints endpoints;
    private final KeeperLinks keepers;
    private final ConfigStream configuration;
    private final MessageHandlers<RouterOutput> carriers;
    private final RequestMetrics metrics;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private RouterDaemon(Vertx vertx, Settings settings) {
        InstantSource clock = InstantSource.system();
        HybridClock order = new HybridClock(clock);
        PlatformClient platform = new PlatformClient(vertx, settings.platform());
        this.vertx = vertx;
        this.settings = settings;
        this.self = Incarnations.fresh("router", settings.vm());
        this.timeline =
                new Timeline(
                        vertx,
                        "router",
                        self,
                        settings.zone(),
                        clock,
                        order,
                        settings.timelineFile());
        this.metrics = new RequestMetrics(registry, "router");
        RouterWorld world =
                RouterWorld.of(self, settings.zone(), () -> AttemptId.of(Incarnations.token()));
        this.loop =
                new TickLoop<>(
                        vertx,
                        vertx.getOrCreateContext(),
                        clock,
                        world,
                        RouterSystems.schedule(Placement.byAffinity(), RouterLimits.standalone()),
                        this::carry);
        this.callers = new Callers(clock, settings.mostBodyBytes(), world, loop::offer, metrics);
        this.endpoints =
                new Endpoints(vertx, platform, callers, world.endpoints()::has, loop::offer);
        this.keepers = new KeeperLinks(vertx, self, order, loop::offer);
        this.configuration = new ConfigStream(platform);
        this.carriers = carriers();
    }

    /** Starts a router; the future fails with PORT_IN_USE if the port is taken. */
    public static CompletableFuture<Daemon.Running> start(Settings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        return new RouterDaemon(vertx, settings).run();
    }

    private CompletableFuture<Daemon.Running> run() {
        Router web = Router.router(vertx);
        Ops.mount(web, registry, this::isReady);
        callers.mount(web);
        return Servers.listen(vertx, settings.listen(), web).thenApply(server -> begin());
    }

    private Daemon.Running begin() {
        timeline.write(Event.of(EventKind.PROCESS_STARTED, self, "zone=" + settings.zone()));
        Cancellable following =
                configuration.follow(
                        newer -> loop.offer(new RouterInput.ConfigurationReceived(newer)),
                        verdict -> {});
        endpoints.begin();
        settings.keepers().forEach(keepers::open);
        return () -> stop(following);
    }

    private CompletableFuture<Void> stop(Cancellable following) {
        loop.offer(new RouterInput.StopAsked());
        return stopped.thenRun(following::cancel)
                .thenRun(
                        () -> {
                            timeline.write(Event.of(EventKind.PROCESS_STOPPED, self, "planned"));
                            timeline.flush();
                        });
    }

    private boolean isReady() {
        RouterWorld world = loop.world();
        return !world.isStopping()
                && !world.keepers().isEmpty()
                && world.configuration().revision() >= 0;
    }

    private void carry(RouterOutput output) {
        carriers.accept(output);
    }

    private MessageHandlers<RouterOutput> carriers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.ToKeeper.class, keepers::send)
                .on(RouterOutput.StartAttempt.class, endpoints::start)
                .on(RouterOutput.CancelAttempt.class, end -> endpoints.cancel(end.attempt()))
                .on(RouterOutput.PauseAttempt.class, endpoints::pause)
                .on(RouterOutput.Note.class, note -> note(note.event()))
                .on(RouterOutput.Stopped.class, done -> stopped.complete(null))
                .otherwise(callers::carry);
    }

    private void note(Event event) {
        metrics.count(event.kind());
        timeline.write(event);
    }
}

package org.bramleylatch.keeper;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperSystems;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.edge.AccountStream;
import org.bramleylatch.edge.Daemon;
import org.bramleylatch.edge.HybridClock;
import org.bramleylatch.edge.Incarnations;
import org.bramleylatch.edge.Ops;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.RouterLinks;
import org.bramleylatch.edge.Servers;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.edge.Timeline;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.Settings;

/** Connects a keeper's world to the platform and to routers. */
public final class KeeperDaemon {
    private final Vertx vertx;
    private final Context context;
    private final Timeline timeline;
    private final KeeperMetrics metrics;
    private final TickLoop<KeeperInput, KeeperOutput, KeeperWorld> loop;
    private final RouterLinks links;
    private final AccountStream accounts;
    private final EndpointAsker asker;
    private final MessageHandlers<KeeperOutput> carriers;
    private final Settings settings;
    private final Incarnation self;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private KeeperDaemon(Vertx vertx, Settings settings) {
        InstantSource clock = InstantSource.system();
        HybridClock order = new HybridClock(clock);
        PlatformClient platform = new PlatformClient(vertx, settings.platform());
        this.vertx = vertx;
        this.settings = settings;
        this.context = vertx.getOrCreateContext();
        this.self = Incarnations.fresh("keeper", settings.vm());
        this.timeline =
                new Timeline(
                        vertx,
                        "keeper",
                        self,
                        settings.zone(),
                        clock,
                        order,
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
                        KeeperSystems.schedule(policy, limits),
                        this::carry);
        this.links = new RouterLinks(vertx, self, order, loop::offer);
        this.accounts =
                new AccountStream(
                        platform, self, feed -> loop.offer(new KeeperInput.FromLog(feed)));
        this.asker = new EndpointAsker(vertx, platform, loop::offer);
        this.carriers = carriers();
    }

    /** Starts a keeper; the future fails with PORT_IN_USE if the port is taken. */
    public static CompletableFuture<Daemon.Running> start(Settings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        return new KeeperDaemon(vertx, settings).run();
    }

    private CompletableFuture<Daemon.Running> run() {
        Router web = Router.router(vertx);
        Ops.mount(web, registry, this::isReady);
        web.get("/ledger")
                .handler(call -> call.response().end(Json.write(loop.world().ledger().snapshot())));
        return Servers.listen(vertx, settings.listen(), request -> route(request, web))
                .thenApply(server -> begin());
    }

    private Daemon.Running begin() {
        timeline.write(Event.of(EventKind.PROCESS_STARTED, self, "zone=" + settings.zone()));
        Cancellable following = accounts.follow(vertx, settings.keepers());
        asker.begin();
        return () -> stop(following);
    }

    private CompletableFuture<Void> stop(Cancellable following) {
        loop.offer(new KeeperInput.StopAsked());
        return stopped.thenRun(following::cancel)
                .thenRun(
                        () -> {
                            timeline.write(Event.of(EventKind.PROCESS_STOPPED, self, "planned"));
                            timeline.flush();
                        });
    }

    private void route(HttpServerRequest request, Router web) {
        if (links.accepts(request)) {
            links.handle(request);
        } else {
            web.handle(request);
        }
    }

    private boolean isReady() {
        return accounts.isCaughtUp() && !loop.world().isStopping();
    }

    private void carry(KeeperOutput output) {
        if (output instanceof KeeperOutput.ToRouter message) {
            links.send(message);
        } else {
            carriers.accept(output);
        }
    }

    private MessageHandlers<KeeperOutput> carriers() {
        return MessageHandlers.<KeeperOutput>empty()
                .on(KeeperOutput.AppendBatch.class, batch -> accounts.append(batch.records()))
                .on(KeeperOutput.AskEndpoint.class, asker::ask)
                .on(KeeperOutput.Note.class, note -> note(note.event()))
                .on(KeeperOutput.Stopped.class, done -> stopped.complete(null));
    }

    private void note(Event event) {
        metrics.count(event.kind());
        timeline.write(event);
    }
}

package org.bramleylatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.Dispatch;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperSystems;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.core.Placement;
import org.bramleylatch.core.RequestRow;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterLimits;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterSystems;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.edge.AccountStream;
import org.bramleylatch.edge.HybridClock;
import org.bramleylatch.edge.Incarnations;
import org.bramleylatch.edge.KeeperLinks;
import org.bramleylatch.edge.KeeperReplies;
import org.bramleylatch.edge.LogFollower;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.edge.Ops;
import org.bramleylatch.edge.Pace;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.edge.RouterLinks;
import org.bramleylatch.edge.Servers;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.platform.BootFile;
import org.bramleylatch.platform.Bounds;
import org.bramleylatch.platform.KeyedPage;
import org.bramleylatch.platform.KeyedStream;
import org.bramleylatch.platform.StoreClient;
import org.bramleylatch.wire.Address;

/** Runs a router and a keeper over the users' platform; both on one event loop. */
public final class GatewayDaemon {
    /** Leaves a part of the fleet's allowance for routers that are not known yet. */
    private static final int RETRY_PERCENT = 75;

    private static final int PERCENT = 100;

    /** The balancer asks every second and takes a router out after two misses. */
    private static final long BALANCER_MILLIS = 2_500;

    /** New peers are rare, and a keeper that is not yet known is not yet needed. */
    private static final long PEERS_WAIT_MILLIS = 10_000;

    /** What is left of the grace for the last appends. */
    private static final long LAST_APPENDS_MILLIS = 700;

    private static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

    private final Vertx vertx;
    private final Context context;
    private final MonotonicClock clock;
    private final BootFile boot;
    private final GatewaySettings settings;
    private final EventLog log;
    private final RequestMetrics metrics;
    private final PrometheusRegistry metricsRegistry = new PrometheusRegistry();
    private final Incarnation keeper;
    private final Incarnation router;
    private final Dispatch<KeeperOutput, RouterInput> replies;
    private final TickLoop<RouterInput, RouterOutput, RouterWorld> routerLoop;
    private final TickLoop<KeeperInput, KeeperOutput, KeeperWorld> keeperLoop;
    private final CallerSide callers;
    private final EndpointSide endpoints;
    private final Registry registry;
    private final OperatorFeed operator;
    private final StoreClient store;
    private final AccountStream accounts;
    private final RouterLinks routerLinks;
    private final KeeperLinks keeperLinks;
    private final Peers peers;
    private final MessageHandlers<RouterOutput> routerCarriers;
    private final MessageHandlers<KeeperOutput> keeperCarriers;
    private final CompletableFuture<Void> routerStopped = new CompletableFuture<>();
    private final CompletableFuture<Void> keeperStopped = new CompletableFuture<>();
    private final List<Integer> ports = new ArrayList<>();
    private boolean draining;

    private GatewayDaemon(
            Vertx vertx, MonotonicClock clock, BootFile boot, GatewaySettings settings) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.clock = clock;
        this.boot = boot;
        this.settings = settings;
        this.log = new EventLog(clock, boot.vm(), settings.logLinesPerSecond());
        this.metrics = new RequestMetrics(metricsRegistry, "gateway");
        this.keeper = Incarnations.fresh("keeper", boot.vm());
        this.router = Incarnations.fresh("router", boot.vm());
        this.replies = KeeperReplies.of(keeper);
        this.routerLoop = routerLoop();
        this.keeperLoop = keeperLoop();
        this.store = new StoreClient(vertx, boot.store(), clock);
        this.operator = new OperatorFeed(routerLoop::offer, keeperLoop::offer);
        this.registry = new Registry(name -> operator.latest().backEnd(name), routerLoop::offer);
        this.operator.onChange(registry::announceAll);
        this.callers = callerSide();
        this.endpoints = endpointSide();
        this.accounts =
                new AccountStream(
                        store, keeper, feed -> keeperLoop.offer(new KeeperInput.FromLog(feed)));
        HybridClock order = new HybridClock(clock);
        this.routerLinks = new RouterLinks(vertx, keeper, order, keeperLoop::offer);
        this.keeperLinks = new KeeperLinks(vertx, router, order, routerLoop::offer);
        this.peers = peers();
        this.routerCarriers = routerCarriers();
        this.keeperCarriers = keeperCarriers();
    }

    private TickLoop<RouterInput, RouterOutput, RouterWorld> routerLoop() {
        return new TickLoop<>(
                vertx,
                context,
                clock,
                RouterWorld.of(router, boot.zone(), () -> AttemptId.of(Incarnations.token())),
                RouterSystems.schedule(Placement.bySharedPrefix(), limits(boot.bounds())),
                this::carry);
    }

    private TickLoop<KeeperInput, KeeperOutput, KeeperWorld> keeperLoop() {
        GrantPolicy policy =
                GrantPolicy.byShortTermDemand(
                        settings.grantHorizonMillis(), settings.smallestGrantTokens());
        return new TickLoop<>(
                vertx,
                context,
                clock,
                KeeperWorld.of(keeper),
                KeeperSystems.schedule(policy, KeeperLimits.colocatedWithRouter(boot.keepMillis())),
                this::carry);
    }

    private CallerSide callerSide() {
        Counter broken =
                Counter.builder()
                        .name("bramleylatch_gateway_broken_requests_total")
                        .help("Requests that broke off before they were read")
                        .register(metricsRegistry);
        return new CallerSide(
                clock,
                routerLoop::offer,
                metrics,
                broken::inc,
                () -> operator.latest().mostBodyBytes(),
                () -> draining);
    }

    private EndpointSide endpointSide() {
        return new EndpointSide(
                vertx,
                clock,
                registry::find,
                callers::exchange,
                id -> routerLoop.world().requests().find(id).map(RequestRow::spec),
                name -> operator.latest().backEnd(name).tokensPerEvent(),
                routerLoop::offer);
    }

    private Peers peers() {
        return new Peers(
                vertx, store, boot.vm(), boot.inner(), keeperLinks::open, routerLoop::offer);
    }

    /** Starts the daemon. */
    public static CompletableFuture<GatewayDaemon> start(
            MonotonicClock clock, BootFile boot, GatewaySettings settings) {
        Vertx vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(1)
                                .setWorkerPoolSize(1)
                                .setInternalBlockingPoolSize(1));
        GatewayDaemon daemon = new GatewayDaemon(vertx, clock, boot, settings);
        CompletableFuture<GatewayDaemon> started = new CompletableFuture<>();
        daemon.context.runOnContext(ignored -> daemon.begin(started));
        return started;
    }

    /** Finishes what callers wait for, settles and gives grants back. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        context.runOnContext(ignored -> drain(stopped));
        return stopped;
    }

    /** Notes that the platform changed the boot file; what it says of this VM does not change. */
    public void reload() {
        note(Event.of(EventKind.SETTINGS_RELOADED, router, "boot file read again"));
    }

    private static RouterLimits limits(Bounds bounds) {
        return RouterLimits.colocatedWithKeeper(
                bounds.retryExtra() * RETRY_PERCENT / PERCENT,
                bounds.retryPermille() * RETRY_PERCENT / PERCENT,
                bounds.retryWindowMillis());
    }

    private void begin(CompletableFuture<GatewayDaemon> started) {
        Infrastructure.setDefaultExecutor(task -> context.runOnContext(ignored -> task.run()));
        note(Event.of(EventKind.PROCESS_STARTED, router, "zone=" + boot.zone()));
        routerLoop.offer(new RouterInput.LocalKeeperUp(keeper));
        keeperLoop.offer(new KeeperInput.ProcessBegan(clock.bootMillis(), clock.startMillis()));
        keeperLoop.offer(new KeeperInput.RouterSeen(router));
        follow();
        Router ops = Router.router(vertx);
        Ops.mount(ops, metricsRegistry, this::isReady);
        Handler<HttpServerRequest> inner =
                request -> {
                    if (routerLinks.accepts(request)) {
                        routerLinks.handle(request);
                    } else {
                        ops.handle(request);
                    }
                };
        Router ready = Router.router(vertx);
        ready.get("/ready")
                .handler(call -> call.response().setStatusCode(isReady() ? 200 : 503).end());
        listen(boot.callers(), callers::handle)
                .thenCompose(done -> listen(boot.readiness(), ready))
                .thenCompose(done -> listen(boot.inner(), inner))
                .whenComplete((done, failure) -> started(started, failure));
    }

    private CompletableFuture<Void> listen(Address address, Handler<HttpServerRequest> handler) {
        return Servers.listen(vertx, address, handler)
                .thenAccept(server -> ports.add(server.actualPort()));
    }

    /** Returns the ports that it listens on: for callers, readiness and metrics. */
    List<Integer> ports() {
        return List.copyOf(ports);
    }

    private void started(CompletableFuture<GatewayDaemon> started, Throwable failure) {
        if (failure == null) {
            started.complete(this);
        } else {
            started.completeExceptionally(failure);
        }
    }

    private void follow() {
        Pace changes = new Pace(settings.storeWaitMillis(), () -> 0, LONGEST_PAUSE);
        Pace ledger =
                new Pace(settings.storeWaitMillis(), settings::ledgerPauseMillis, LONGEST_PAUSE);
        KeyedStream operatorStream = KeyedStream.operator(store);
        KeyedStream endpointStream = KeyedStream.endpoints(store);
        new LogFollower<KeyedPage>(operatorStream::read, changes)
                .follow(operator::take, code -> operator.away(code));
        new LogFollower<KeyedPage>(endpointStream::read, changes)
                .follow(registry::take, code -> registry.away());
        accounts.follow(ledger);
        KeyedStream peerStream = KeyedStream.peers(store);
        new LogFollower<KeyedPage>(
                        peerStream::read, new Pace(PEERS_WAIT_MILLIS, () -> 0, LONGEST_PAUSE))
                .follow(peers::take, code -> {});
        peers.announce();
    }

    private boolean isReady() {
        return !draining && routerLoop.world().configuration().isKnown() && accounts.isCaughtUp();
    }

    private void drain(CompletableFuture<Void> stopped) {
        draining = true;
        note(Event.of(EventKind.PROCESS_STOPPED, router, "stop asked for, no longer ready"));
        vertx.setTimer(BALANCER_MILLIS, ignored -> routerLoop.offer(new RouterInput.StopAsked()));
        long lastMillis = boot.bounds().graceMillis() - LAST_APPENDS_MILLIS;
        vertx.setTimer(lastMillis, ignored -> routerStopped.complete(null));
        vertx.setTimer(
                boot.bounds().graceMillis() - LAST_APPENDS_MILLIS / 2,
                ignored -> keeperStopped.complete(null));
        routerStopped.thenRun(() -> keeperLoop.offer(new KeeperInput.StopAsked()));
        keeperStopped.thenRun(() -> stopped.complete(null));
    }

    private void carry(RouterOutput output) {
        routerCarriers.accept(output);
    }

    private void carry(KeeperOutput output) {
        if (output instanceof KeeperOutput.ToRouter reply) {
            carryReply(reply);
        } else {
            keeperCarriers.accept(output);
        }
    }

    private void carryReply(KeeperOutput.ToRouter reply) {
        if (reply.router().equals(router)) {
            routerLoop.offer(replies.apply(reply));
        } else {
            routerLinks.send(reply);
        }
    }

    private void carryAsk(RouterOutput.ToKeeper ask) {
        if (ask.keeper().equals(keeper)) {
            keeperLoop.offer(ask.message());
        } else {
            keeperLinks.send(ask);
        }
    }

    /** No endpoint can tell what a request used, so one whose router is lost is billed in full. */
    private void billInFull(KeeperOutput.AskEndpoint ask) {
        keeperLoop.offer(
                new KeeperInput.EndpointReported(ask.key(), OptionalLong.of(Long.MAX_VALUE)));
    }

    private MessageHandlers<RouterOutput> routerCarriers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.ToKeeper.class, this::carryAsk)
                .on(RouterOutput.StartAttempt.class, endpoints::start)
                .on(RouterOutput.CancelAttempt.class, endpoints::cancel)
                .on(RouterOutput.PauseAttempt.class, endpoints::pause)
                .on(RouterOutput.Note.class, note -> note(note.event()))
                .on(RouterOutput.Stopped.class, done -> routerStopped.complete(null))
                .otherwise(callers::carry);
    }

    private MessageHandlers<KeeperOutput> keeperCarriers() {
        return MessageHandlers.<KeeperOutput>empty()
                .on(KeeperOutput.AppendBatch.class, batch -> accounts.append(batch.records()))
                .on(KeeperOutput.AskEndpoint.class, this::billInFull)
                .on(KeeperOutput.Note.class, note -> note(note.event()))
                .on(KeeperOutput.Stopped.class, done -> keeperStopped.complete(null));
    }

    private void note(Event event) {
        metrics.count(event.kind());
        log.write(event);
    }
}

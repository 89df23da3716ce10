package org.bramleylatch.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.KeeperWorld;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.RequestRow;
import org.bramleylatch.core.RouterInput;
import org.bramleylatch.core.RouterOutput;
import org.bramleylatch.core.RouterWorld;
import org.bramleylatch.core.VmRow;
import org.bramleylatch.edge.EventLoopEnd;
import org.bramleylatch.edge.HybridLogicalClock;
import org.bramleylatch.edge.KeeperConnections;
import org.bramleylatch.edge.LedgerStream;
import org.bramleylatch.edge.LinkMeter;
import org.bramleylatch.edge.MonotonicClock;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.edge.RequestMetrics;
import org.bramleylatch.edge.RouterConnections;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.platform.BootFile;
import org.bramleylatch.platform.PeerEntry;
import org.bramleylatch.platform.StoreClient;

/** Runs a router and a keeper in one process, both on the same event loop. */
public final class GatewayDaemon {
    private final Vertx vertx;
    private final Context context;
    private final MonotonicClock clock;
    private final BootFile boot;
    private final GatewaySettings settings;
    private final EventLog eventLog;
    private final LoadMonitoring load;
    private final RequestMetrics metrics;
    private final PrometheusRegistry metricsRegistry = new PrometheusRegistry();
    private final Incarnation keeper;
    private final Incarnation router;
    private final TickLoop<RouterInput, RouterOutput, RouterWorld> routerLoop;
    private final TickLoop<KeeperInput, KeeperOutput, KeeperWorld> keeperLoop;
    private final CallerServer callerServer;
    private final EndpointClient endpointClient;
    private final EndpointProber endpointProber;
    private final EndpointRegistry endpointRegistry;
    private final ConfigurationReceiver configurationReceiver;
    private final StoreClient store;
    private final LedgerStream ledgerStream;
    private final RouterConnections routerConnections;
    private final KeeperConnections keeperConnections;
    private final PeerMessages peerMessages;
    private final PeerDirectory peerDirectory;
    private final ReportStore reportStore;
    private final LatestValueWriter<RouterOutput.ReportRollout> rolloutWriter;
    private final MessageHandlers<RouterOutput> routerHandlers;
    private final MessageHandlers<KeeperOutput> keeperHandlers;
    private final PlannedStop plannedStop;
    private final GatewayServers servers;

    private GatewayDaemon(
            GatewayRuntime runtime, MonotonicClock clock, BootFile boot, GatewaySettings settings) {
        this.vertx = runtime.vertx();
        this.context = vertx.getOrCreateContext();
        this.clock = clock;
        this.boot = boot;
        this.settings = settings;
        this.servers = new GatewayServers(vertx, metricsRegistry);
        this.eventLog = new EventLog(clock, boot.vm(), settings.logLinesPerSecond());
        this.metrics = new RequestMetrics(metricsRegistry, "gateway");
        this.keeper = RandomIds.newIncarnation("keeper", boot.vm());
        this.router = RandomIds.newIncarnation("router", boot.vm());
        GatewayLoops loops = new GatewayLoops(vertx, context, clock, boot, settings);
        this.routerLoop = loops.router(router, this::handleRouterOutput);
        this.keeperLoop = loops.keeper(keeper, this::handleKeeperOutput);
        this.load = loadMonitoring(runtime.linkMeter());
        this.store = new StoreClient(vertx, boot.storeAddress(), clock);
        this.configurationReceiver = configurationReceiver();
        this.endpointRegistry =
                new EndpointRegistry(
                        name -> configurationReceiver.latest().traitsOf(name), routerLoop::offer);
        this.configurationReceiver.onChange(endpointRegistry::announceAll);
        this.callerServer = callerServer();
        this.plannedStop = plannedStop();
        this.ledgerStream =
                new LedgerStream(
                        store, keeper, update -> keeperLoop.offer(new KeeperInput.FromLog(update)));
        HybridLogicalClock hlc = new HybridLogicalClock(clock);
        this.routerConnections = new RouterConnections(vertx, keeper, hlc, keeperLoop::offer);
        this.keeperConnections = new KeeperConnections(vertx, router, hlc, routerLoop::offer);
        this.peerDirectory = peerDirectory();
        PeerPaths peerPaths = PeerPaths.onPort(boot.relayPort(), peerDirectory::find);
        this.endpointClient = endpointClient(peerPaths);
        this.endpointProber =
                new EndpointProber(vertx, endpointRegistry::find, peerPaths, routerLoop::offer);
        this.peerMessages = peerMessages();
        this.reportStore = new ReportStore(vertx, store, routerLoop::offer);
        this.rolloutWriter = rolloutWriter();
        this.routerHandlers = routerHandlers();
        this.keeperHandlers = keeperHandlers();
    }

    private LoadMonitoring loadMonitoring(LinkMeter linkMeter) {
        return new LoadMonitoring(
                clock,
                boot,
                linkMeter,
                metricsRegistry,
                routerLoop.world(),
                routerLoop::offer,
                this::recordEvent);
    }

    private ConfigurationReceiver configurationReceiver() {
        return new ConfigurationReceiver(routerLoop::offer, keeperLoop::offer, clock);
    }

    private CallerServer callerServer() {
        Counter brokenRequests =
                Counter.builder()
                        .name("bramleylatch_gateway_broken_requests_total")
                        .help("Requests that broke off before they were read")
                        .register(metricsRegistry);
        return new CallerServer(
                clock,
                load::lagMillis,
                routerLoop::offer,
                metrics,
                this::recordEvent,
                brokenRequests::inc,
                new RequestReader.Limits(
                        () -> configurationReceiver.latest().callerLimits(),
                        BodyBudget.ofHeap(Runtime.getRuntime().maxMemory()),
                        load.shedding()::takeOn),
                this::isStopping);
    }

    private PlannedStop plannedStop() {
        CallerDrain drain = new CallerDrain(vertx, clock, callerServer.connections());
        return new PlannedStop(
                vertx,
                clock,
                boot.limits().shutdownGraceMillis(),
                new PlannedStop.Actions(
                        () -> routerLoop.offer(new RouterInput.StopAsked()),
                        drain::start,
                        drain::stopListening,
                        () -> routerLoop.offer(new RouterInput.StopTimeReached()),
                        () -> keeperLoop.offer(new KeeperInput.StopAsked()),
                        () -> callerServer.connections().closeAll(),
                        () ->
                                drain.finish()
                                        .thenCompose(none -> callerServer.whenAnswersWritten())),
                new StopLog(routerLoop.world(), callerServer, this::recordEvent));
    }

    private PeerMessages peerMessages() {
        return new PeerMessages(
                router,
                keeper,
                routerLoop::offer,
                keeperLoop::offer,
                routerConnections,
                keeperConnections);
    }

    private EndpointClient endpointClient(PeerPaths peerPaths) {
        return new EndpointClient(
                vertx,
                clock,
                peerPaths,
                endpointRegistry::find,
                callerServer::findExchange,
                id -> routerLoop.world().requests().find(id).map(RequestRow::spec),
                name -> configurationReceiver.latest().traitsOf(name).tokensPerEvent(),
                routerLoop::offer,
                this::recordEvent);
    }

    private PeerRelay peerRelay() {
        return new PeerRelay(
                vertx,
                endpointRegistry::isListed,
                () -> !isStopping() && !routerLoop.world().isCutOff(clock.millis()));
    }

    private LatestValueWriter<RouterOutput.ReportRollout> rolloutWriter() {
        return new LatestValueWriter<>(
                vertx, (key, report) -> store.putRolloutState(report.order(), report.state()));
    }

    private PeerDirectory peerDirectory() {
        return new PeerDirectory(
                vertx,
                store,
                new PeerEntry(
                        new VmRow(boot.vm(), boot.zone(), boot.limits().processorPermille()),
                        boot.internalAddress()),
                settings.holderSettleMillis(),
                keeperConnections::connect,
                routerLoop::offer,
                keeperLoop::offer);
    }

    /**
     * Starts a daemon.
     *
     * @return the daemon once it listens on its three addresses; fails if it can't listen on one
     */
    public static CompletableFuture<GatewayDaemon> start(
            MonotonicClock clock, BootFile boot, GatewaySettings settings) {
        GatewayDaemon daemon =
                new GatewayDaemon(GatewayRuntime.create(boot), clock, boot, settings);
        CompletableFuture<GatewayDaemon> started = new CompletableFuture<>();
        daemon.context.runOnContext(ignored -> daemon.startOnContext(started));
        return started;
    }

    /**
     * Stops the daemon: finishes open requests, settles their usage and returns its grants.
     *
     * @return completes once this is done, but no later than shortly before the end of the
     *     platform's grace period
     */
    CompletableFuture<Void> stop() {
        return stop(clock.millis());
    }

    /**
     * Stops the daemon as {@link #stop()} does.
     *
     * @param askedMillis when the stop was asked for, from which the grace period counts; may lie
     *     before the daemon was started
     */
    CompletableFuture<Void> stop(long askedMillis) {
        context.runOnContext(ignored -> plannedStop.begin(askedMillis));
        return plannedStop.whenStopped();
    }

    /** Returns a future that completes once a planned stop is done. */
    CompletableFuture<Void> whenStopped() {
        return plannedStop.whenStopped();
    }

    /**
     * Returns a future that completes if the event loop ends before a planned stop is done, after
     * which no request can be answered.
     */
    CompletableFuture<Void> whenFailed() {
        CompletableFuture<Void> failed = new CompletableFuture<>();
        EventLoopEnd.of(context)
                .thenRun(
                        () -> {
                            if (!plannedStop.whenStopped().isDone()) {
                                failed.complete(null);
                            }
                        });
        return failed;
    }

    /**
     * Closes all connections and timers at once, as the end of the process would.
     *
     * @return completes once nothing runs any more
     */
    CompletableFuture<Void> close() {
        return vertx.close().toCompletionStage().toCompletableFuture();
    }

    /** Records that the platform changed the boot file; the values for this VM never change. */
    public void recordBootFileChange() {
        recordEvent(
                Event.of(
                        EventKind.SETTINGS_RELOADED,
                        router,
                        "boot file changed, values for this VM unchanged"));
    }

    private void startOnContext(CompletableFuture<GatewayDaemon> started) {
        Infrastructure.setDefaultExecutor(task -> context.runOnContext(ignored -> task.run()));
        load.start(vertx);
        callerServer.start(vertx);
        recordEvent(Event.of(EventKind.PROCESS_STARTED, router, "zone=" + boot.zone()));
        routerLoop.offer(new RouterInput.LocalKeeperUp(keeper));
        keeperLoop.offer(new KeeperInput.ProcessStarted(clock.bootMillis(), clock.startMillis()));
        keeperLoop.offer(new KeeperInput.RouterConnected(router));
        keeperLoop.offer(new KeeperInput.HolderSelected(false));
        new StoreFollowers(
                        store,
                        settings,
                        configurationReceiver,
                        endpointRegistry,
                        ledgerStream,
                        peerDirectory,
                        reportStore,
                        () -> keeperLoop.world().isActive())
                .follow();
        new OrphanWatch(
                        vertx,
                        routerLoop.world(),
                        callerServer,
                        endpointClient,
                        routerLoop::offer,
                        metricsRegistry)
                .start();
        boot.relayAddress().ifPresent(peerRelay()::start);
        servers.listen(boot, callerServer, routerConnections, this::isReady)
                .whenComplete((done, failure) -> completeStart(started, failure));
    }

    /**
     * Returns the ports for callers, for readiness checks and for peers and metrics, in this order.
     */
    List<Integer> ports() {
        return servers.ports();
    }

    private void completeStart(CompletableFuture<GatewayDaemon> started, Throwable failure) {
        if (failure == null) {
            started.complete(this);
        } else {
            started.completeExceptionally(failure);
        }
    }

    private boolean isReady() {
        return !isStopping()
                && routerLoop.world().configuration().isKnown()
                && configurationReceiver.isCaughtUp()
                && ledgerStream.isCaughtUp()
                && peerDirectory.hasSelected()
                && keeperLoop.world().isFunded()
                && load.shedding().isInRotation();
    }

    private boolean isStopping() {
        return plannedStop.hasBegun();
    }

    private void handleRouterOutput(RouterOutput output) {
        routerHandlers.accept(output);
    }

    private void handleKeeperOutput(KeeperOutput output) {
        if (output instanceof KeeperOutput.ToRouter reply) {
            peerMessages.sendToRouter(reply);
        } else {
            keeperHandlers.accept(output);
        }
    }

    /**
     * Reports the maximum usage for a request whose router was lost, so that its reservation is
     * billed in full: endpoints of this platform can't report what a request used.
     */
    private void billInFull(KeeperOutput.QueryAttemptUsage query) {
        keeperLoop.offer(
                new KeeperInput.AttemptUsageReported(query.key(), OptionalLong.of(Long.MAX_VALUE)));
    }

    private MessageHandlers<RouterOutput> routerHandlers() {
        return MessageHandlers.<RouterOutput>empty()
                .on(RouterOutput.ToKeeper.class, peerMessages::sendToKeeper)
                .on(RouterOutput.StartAttempt.class, endpointClient::startAttempt)
                .on(RouterOutput.CancelAttempt.class, endpointClient::cancelAttempt)
                .on(RouterOutput.PauseAttempt.class, endpointClient::setPaused)
                .on(RouterOutput.ProbeEndpoint.class, endpointProber::probe)
                .on(RouterOutput.ProbePath.class, endpointProber::probePath)
                .on(
                        RouterOutput.ReportRollout.class,
                        report ->
                                rolloutWriter.put("status of " + report.order().backEnd(), report))
                .on(RouterOutput.StoreReport.class, stored -> reportStore.put(stored.report()))
                .on(RouterOutput.Note.class, note -> recordEvent(note.event()))
                .on(RouterOutput.Stopped.class, done -> plannedStop.markRouterStopped())
                .otherwise(callerServer::handleOutput);
    }

    private MessageHandlers<KeeperOutput> keeperHandlers() {
        return MessageHandlers.<KeeperOutput>empty()
                .on(KeeperOutput.AppendBatch.class, batch -> ledgerStream.append(batch.records()))
                .on(KeeperOutput.QueryAttemptUsage.class, this::billInFull)
                .on(KeeperOutput.Note.class, note -> recordEvent(note.event()))
                .on(KeeperOutput.Stopped.class, done -> plannedStop.markKeeperStopped());
    }

    private void recordEvent(Event event) {
        metrics.countEvent(event.kind());
        eventLog.write(event);
    }
}

package org.bramleylatch.admin;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.AdminInput;
import org.bramleylatch.core.AdminOutput;
import org.bramleylatch.core.AdminWorld;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.Daemon;
import org.bramleylatch.edge.FailureLog;
import org.bramleylatch.edge.HttpServers;
import org.bramleylatch.edge.HybridLogicalClock;
import org.bramleylatch.edge.LedgerStream;
import org.bramleylatch.edge.MonitoringHandlers;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.RandomIds;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.edge.Timeline;
import org.bramleylatch.wire.Settings;

/**
 * Runs the administration API: appends the proposed records to the log and completes each call with
 * the result of its record.
 */
public final class AdminDaemon {
    private final Vertx vertx;
    private final Settings settings;
    private final Incarnation self;
    private final Timeline timeline;
    private final TickLoop<AdminInput, AdminOutput, AdminWorld> loop;
    private final LedgerStream ledgerStream;
    private final SectionService sections;
    private final Map<Long, CompletableFuture<Void>> pendingProposals = new HashMap<>();
    private long lastCallId;

    private AdminDaemon(Vertx vertx, Settings settings) {
        InstantSource clock = InstantSource.system();
        PlatformClient platform = new PlatformClient(vertx, settings.platform());
        this.vertx = vertx;
        this.settings = settings;
        this.self = RandomIds.newIncarnation("admin", settings.vm());
        this.timeline =
                new Timeline(
                        vertx,
                        "admin",
                        self,
                        settings.zone(),
                        clock,
                        new HybridLogicalClock(clock),
                        settings.timelineFile());
        this.loop =
                new TickLoop<>(
                        vertx,
                        vertx.getOrCreateContext(),
                        clock,
                        AdminWorld.of(self),
                        AdminWorld.schedule(KeeperLimits.standalone(), FailureLog.handler()),
                        this::handleOutput,
                        (output, detail) -> Optional.empty());
        this.ledgerStream =
                new LedgerStream(
                        platform, self, update -> loop.offer(new AdminInput.FromLog(update)));
        this.sections = new SectionService(vertx, platform, clock);
    }

    /** Starts the API; the future fails with PORT_IN_USE if the port is taken. */
    public static CompletableFuture<Daemon.Running> start(Settings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        return new AdminDaemon(vertx, settings).run();
    }

    private CompletableFuture<Daemon.Running> run() {
        Router web = Router.router(vertx);
        MonitoringHandlers.mount(web, new PrometheusRegistry(), ledgerStream::isCaughtUp);
        new AdminApi(settings.adminKeys(), this::propose, loop.world(), sections, timeline::write)
                .mount(web);
        return HttpServers.listen(vertx, settings.listen(), web).thenApply(this::startFollowing);
    }

    private Daemon.Running startFollowing(HttpServer server) {
        timeline.write(Event.of(EventKind.PROCESS_STARTED, self, "zone=" + settings.zone()));
        Cancellable ledgerSubscription = ledgerStream.follow(vertx, settings.keepers());
        Cancellable sectionsSubscription = sections.follow();
        return () -> {
            ledgerSubscription.cancel();
            sectionsSubscription.cancel();
            timeline.write(Event.of(EventKind.PROCESS_STOPPED, self, "planned"));
            timeline.flush();
            return HttpServers.close(server);
        };
    }

    /** Proposes a record; the future fails with the result code if the ledger refuses it. */
    private CompletableFuture<Void> propose(LedgerRecord record) {
        lastCallId++;
        CompletableFuture<Void> result = new CompletableFuture<>();
        pendingProposals.put(lastCallId, result);
        loop.offer(new AdminInput.Proposed(lastCallId, record));
        return result;
    }

    private void handleOutput(AdminOutput output) {
        MessageHandlers.<AdminOutput>empty()
                .on(AdminOutput.AppendBatch.class, batch -> ledgerStream.append(batch.records()))
                .on(AdminOutput.ProposalResult.class, this::completeProposal)
                .accept(output);
    }

    private void completeProposal(AdminOutput.ProposalResult result) {
        Optional.ofNullable(pendingProposals.remove(result.callId()))
                .ifPresent(proposal -> complete(proposal, result));
    }

    private static void complete(
            CompletableFuture<Void> proposal, AdminOutput.ProposalResult result) {
        result.refusal()
                .ifPresentOrElse(
                        code -> proposal.completeExceptionally(ResultException.of(code, "refused")),
                        () -> proposal.complete(null));
    }
}

package org.bramleylatch.admin;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.MessageHandlers;
import org.bramleylatch.core.AdminInput;
import org.bramleylatch.core.AdminOutput;
import org.bramleylatch.core.AdminWorld;
import org.bramleylatch.core.Event;
import org.bramleylatch.core.EventKind;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.AccountStream;
import org.bramleylatch.edge.Daemon;
import org.bramleylatch.edge.HybridClock;
import org.bramleylatch.edge.Incarnations;
import org.bramleylatch.edge.Ops;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.Servers;
import org.bramleylatch.edge.TickLoop;
import org.bramleylatch.edge.Timeline;
import org.bramleylatch.wire.Settings;

/** Connects the administration API to the log. */
public final class AdminDaemon {
    private final Vertx vertx;
    private final Settings settings;
    private final Incarnation self;
    private final Timeline timeline;
    private final TickLoop<AdminInput, AdminOutput, AdminWorld> loop;
    private final AccountStream accounts;
    private final Sections sections;
    private final Map<Long, CompletableFuture<Void>> calls = new HashMap<>();
    private long lastCall;

    private AdminDaemon(Vertx vertx, Settings settings) {
        InstantSource clock = InstantSource.system();
        PlatformClient platform = new PlatformClient(vertx, settings.platform());
        this.vertx = vertx;
        this.settings = settings;
        this.self = Incarnations.fresh("admin", settings.vm());
        this.timeline =
                new Timeline(
                        vertx,
                        "admin",
                        self,
                        settings.zone(),
                        clock,
                        new HybridClock(clock),
                        settings.timelineFile());
        this.loop =
                new TickLoop<>(
                        vertx,
                        vertx.getOrCreateContext(),
                        clock,
                        AdminWorld.of(self),
                        AdminWorld.schedule(KeeperLimits.standalone()),
                        this::carry);
        this.accounts =
                new AccountStream(platform, self, feed -> loop.offer(new AdminInput.FromLog(feed)));
        this.sections = new Sections(vertx, platform, clock);
    }

    /** Starts the API; the future fails with PORT_IN_USE if the port is taken. */
    public static CompletableFuture<Daemon.Running> start(Settings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        return new AdminDaemon(vertx, settings).run();
    }

    private CompletableFuture<Daemon.Running> run() {
        Router web = Router.router(vertx);
        Ops.mount(web, new PrometheusRegistry(), accounts::isCaughtUp);
        new AdminApi(settings.adminKeys(), this::propose, loop.world(), sections, timeline::write)
                .mount(web);
        return Servers.listen(vertx, settings.listen(), web).thenApply(server -> begin());
    }

    private Daemon.Running begin() {
        timeline.write(Event.of(EventKind.PROCESS_STARTED, self, "zone=" + settings.zone()));
        Cancellable accountsFollowing = accounts.follow(vertx, settings.keepers());
        Cancellable sectionsFollowing = sections.follow();
        return () -> {
            accountsFollowing.cancel();
            sectionsFollowing.cancel();
            timeline.write(Event.of(EventKind.PROCESS_STOPPED, self, "planned"));
            timeline.flush();
            return CompletableFuture.completedFuture(null);
        };
    }

    /** Proposes a record; the future fails with the code with which the fold refuses it. */
    private CompletableFuture<Void> propose(LedgerRecord record) {
        lastCall++;
        CompletableFuture<Void> verdict = new CompletableFuture<>();
        calls.put(lastCall, verdict);
        loop.offer(new AdminInput.Proposed(lastCall, record));
        return verdict;
    }

    private void carry(AdminOutput output) {
        MessageHandlers.<AdminOutput>empty()
                .on(AdminOutput.AppendBatch.class, batch -> accounts.append(batch.records()))
                .on(AdminOutput.ProposalResult.class, this::judge)
                .accept(output);
    }

    private void judge(AdminOutput.ProposalResult judged) {
        Optional.ofNullable(calls.remove(judged.callId())).ifPresent(call -> settle(call, judged));
    }

    private static void settle(CompletableFuture<Void> call, AdminOutput.ProposalResult judged) {
        judged.refusal()
                .ifPresentOrElse(
                        code -> call.completeExceptionally(ResultException.of(code, "refused")),
                        () -> call.complete(null));
    }
}

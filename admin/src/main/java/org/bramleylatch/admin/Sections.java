package org.bramleylatch.admin;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.ConfigStream;
import org.bramleylatch.edge.LogStreams;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.wire.ConfigDocument;
import org.bramleylatch.wire.ConfigReader;
import org.bramleylatch.wire.ConfigRecord;
import org.bramleylatch.wire.ConfigRecord.SectionProposed;
import org.bramleylatch.wire.Json;

/**
 * Proposes changes of configuration sections. A call ends once its proposal was read back from the
 * log, with the verdict of the fold.
 */
final class Sections {
    private static final long APPEND_RETRY_MILLIS = 500;
    private static final long SNAPSHOT_EVERY_MILLIS = 10 * 60 * 1_000;
    private static final long SNAPSHOT_CHECK_MILLIS = 60 * 1_000;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final InstantSource clock;
    private final ConfigStream stream;
    private final Map<RequestKey, CompletableFuture<Long>> calls = new HashMap<>();

    Sections(Vertx vertx, PlatformClient platform, InstantSource clock) {
        this.vertx = vertx;
        this.platform = platform;
        this.clock = clock;
        this.stream = new ConfigStream(platform);
    }

    /** Returns the accepted document as far as it was read. */
    ConfigDocument document() {
        return stream.reader().document();
    }

    /** Reads the configuration stream without end and keeps a recent snapshot in it. */
    Cancellable follow() {
        vertx.setPeriodic(SNAPSHOT_CHECK_MILLIS, id -> snapshotIfDue());
        return stream.follow(newer -> {}, this::judge);
    }

    /**
     * Proposes a change.
     *
     * @return the new revision; fails with the code with which the fold refuses the change
     */
    CompletableFuture<Long> propose(SectionProposed proposal) {
        Optional<ConfigDocument.Verdict> refusal = document().check(proposal);
        if (refusal.isPresent()) {
            return ResultException.failed(refusal.get().code(), refusal.get().detail());
        }
        CompletableFuture<Long> verdict = new CompletableFuture<>();
        calls.put(proposal.key(), verdict);
        append(proposal);
        return verdict;
    }

    private void append(SectionProposed proposal) {
        platform.append(LogStreams.CONFIGURATION, List.of(Json.write((ConfigRecord) proposal)))
                .exceptionally(lost -> appendLater(proposal));
    }

    private Long appendLater(SectionProposed proposal) {
        if (calls.containsKey(proposal.key())) {
            vertx.setTimer(APPEND_RETRY_MILLIS, id -> append(proposal));
        }
        return ConfigDocument.NO_REVISION;
    }

    private void snapshotIfDue() {
        long age = clock.millis() - stream.reader().snapshotMillis();
        if (age >= SNAPSHOT_EVERY_MILLIS && document().nextOffset() > 0) {
            ConfigRecord snapshot = document().snapshot();
            platform.append(LogStreams.CONFIGURATION, List.of(Json.write(snapshot)));
        }
    }

    private void judge(ConfigReader.Judged judged) {
        Optional.ofNullable(calls.remove(judged.proposal().key()))
                .ifPresent(call -> settle(call, judged.offset(), judged.refusal()));
    }

    private static void settle(
            CompletableFuture<Long> call, long offset, Optional<ConfigDocument.Verdict> refusal) {
        refusal.ifPresentOrElse(
                verdict ->
                        call.completeExceptionally(
                                ResultException.of(verdict.code(), verdict.detail())),
                () -> call.complete(offset));
    }
}

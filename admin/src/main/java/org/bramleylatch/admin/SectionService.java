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
 * Proposes changes to configuration sections. A call completes once its proposal has been read back
 * from the log, with the result of applying it.
 */
final class SectionService {
    private static final long APPEND_RETRY_MILLIS = 500;
    private static final long SNAPSHOT_EVERY_MILLIS = 10 * 60 * 1_000;
    private static final long SNAPSHOT_CHECK_MILLIS = 60 * 1_000;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final InstantSource clock;
    private final ConfigStream stream;
    private final Map<RequestKey, CompletableFuture<Long>> pendingProposals = new HashMap<>();

    SectionService(Vertx vertx, PlatformClient platform, InstantSource clock) {
        this.vertx = vertx;
        this.platform = platform;
        this.clock = clock;
        this.stream = new ConfigStream(platform);
    }

    /** Returns the accepted sections as of the last record read from the log. */
    ConfigDocument document() {
        return stream.reader().document();
    }

    /**
     * Follows the configuration stream until cancelled. Also starts a timer, which cancelling does
     * not stop: it appends a snapshot once the latest one is 10 minutes old.
     */
    Cancellable follow() {
        vertx.setPeriodic(SNAPSHOT_CHECK_MILLIS, id -> snapshotIfDue());
        return stream.follow(configuration -> {}, this::completeProposal);
    }

    /**
     * Proposes a change to a section; an append that fails is retried until the result is known.
     *
     * @return the new revision, which is the log offset of the proposal; fails with the result code
     *     if the change is refused
     */
    CompletableFuture<Long> propose(SectionProposed proposal) {
        Optional<ConfigDocument.Refusal> refusal = document().check(proposal);
        if (refusal.isPresent()) {
            return ResultException.failedFuture(refusal.get().code(), refusal.get().detail());
        }
        CompletableFuture<Long> result = new CompletableFuture<>();
        pendingProposals.put(proposal.key(), result);
        append(proposal);
        return result;
    }

    private void append(SectionProposed proposal) {
        platform.append(LogStreams.CONFIGURATION, List.of(Json.write((ConfigRecord) proposal)))
                .exceptionally(failure -> retryAppendIfPending(proposal));
    }

    /** Retries unless the result is known. The returned value is not used. */
    private Long retryAppendIfPending(SectionProposed proposal) {
        if (pendingProposals.containsKey(proposal.key())) {
            vertx.setTimer(APPEND_RETRY_MILLIS, id -> append(proposal));
        }
        return ConfigDocument.NO_REVISION;
    }

    private void snapshotIfDue() {
        long ageMillis = clock.millis() - stream.reader().latestSnapshotMillis();
        if (ageMillis >= SNAPSHOT_EVERY_MILLIS && document().nextOffset() > 0) {
            ConfigRecord snapshot = document().snapshot();
            platform.append(LogStreams.CONFIGURATION, List.of(Json.write(snapshot)));
        }
    }

    private void completeProposal(ConfigReader.ProposalResult result) {
        Optional.ofNullable(pendingProposals.remove(result.proposal().key()))
                .ifPresent(proposal -> complete(proposal, result.offset(), result.refusal()));
    }

    private static void complete(
            CompletableFuture<Long> proposal,
            long offset,
            Optional<ConfigDocument.Refusal> refusal) {
        refusal.ifPresentOrElse(
                reason ->
                        proposal.completeExceptionally(
                                ResultException.of(reason.code(), reason.detail())),
                () -> proposal.complete(offset));
    }
}

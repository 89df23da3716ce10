package org.bramleylatch.admin;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.edge.LogFollower;
import org.bramleylatch.edge.LogPage;
import org.bramleylatch.edge.PlatformClient;
import org.bramleylatch.edge.Streams;
import org.bramleylatch.wire.ConfigDocument;
import org.bramleylatch.wire.ConfigRecord;
import org.bramleylatch.wire.ConfigRecord.SectionProposed;
import org.bramleylatch.wire.Json;

/**
 * Proposes changes of configuration sections. A call ends once its proposal was read back from the
 * log, with the verdict of the fold.
 */
final class Sections {
    private static final long APPEND_RETRY_MILLIS = 500;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final ConfigDocument document = ConfigDocument.empty();
    private final Map<RequestKey, CompletableFuture<Long>> calls = new HashMap<>();

    Sections(Vertx vertx, PlatformClient platform) {
        this.vertx = vertx;
        this.platform = platform;
    }

    /** Returns the accepted document as far as it was read. */
    ConfigDocument document() {
        return document;
    }

    /** Reads the configuration stream without end. */
    Cancellable follow() {
        return new LogFollower(platform, Streams.CONFIGURATION)
                .follow(document::nextOffset, this::take, code -> {});
    }

    /**
     * Proposes a change.
     *
     * @return the new revision; fails with the code with which the fold refuses the change
     */
    CompletableFuture<Long> propose(SectionProposed proposal) {
        Optional<ConfigDocument.Verdict> refusal = document.check(proposal);
        if (refusal.isPresent()) {
            return ResultException.failed(refusal.get().code(), refusal.get().detail());
        }
        CompletableFuture<Long> verdict = new CompletableFuture<>();
        calls.put(proposal.key(), verdict);
        append(proposal);
        return verdict;
    }

    private void append(SectionProposed proposal) {
        platform.append(Streams.CONFIGURATION, List.of(Json.write((ConfigRecord) proposal)))
                .exceptionally(lost -> appendLater(proposal));
    }

    private Long appendLater(SectionProposed proposal) {
        if (calls.containsKey(proposal.key())) {
            vertx.setTimer(APPEND_RETRY_MILLIS, id -> append(proposal));
        }
        return ConfigDocument.NO_REVISION;
    }

    private void take(LogPage page) {
        page.records().forEach(this::fold);
    }

    private void fold(LogPage.Item item) {
        SectionProposed proposal = Json.read(item.d(), SectionProposed.class);
        Optional<ConfigDocument.Verdict> refusal = document.apply(item.o(), proposal);
        Optional.ofNullable(calls.remove(proposal.key()))
                .ifPresent(call -> settle(call, item.o(), refusal));
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

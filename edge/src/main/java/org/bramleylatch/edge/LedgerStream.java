package org.bramleylatch.edge;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerCursor;
import org.bramleylatch.core.LedgerSnapshot;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.WireEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the ledger stream of the log, reports its content as {@link LogUpdate}, and appends batches
 * of records to it.
 */
public final class LedgerStream {
    private static final Logger LOG = LoggerFactory.getLogger(LedgerStream.class);
    private static final RecordGuard GUARD = RecordGuard.of(LogStreams.LEDGER);
    private static final long PEER_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_READ_RECORDS = 5_000;

    /** Exceeds the usual number of records between two snapshots at the present fleet size. */
    private static final int SNAPSHOT_SEARCH_RECORDS = 400;

    private final LogService logService;
    private final Incarnation self;
    private final Consumer<LogUpdate> onUpdate;
    private LedgerCursor cursor = LedgerCursor.atStart();
    private long era;
    private boolean started;
    private boolean endReached;
    private boolean caughtUp;
    private boolean peersAsked;
    private boolean startWarningLogged;

    /**
     * Creates a reader that reads nothing yet.
     *
     * @param self the writer of the appended batches
     * @param onUpdate receives every update, in the order of the stream
     */
    public LedgerStream(LogService logService, Incarnation self, Consumer<LogUpdate> onUpdate) {
        this.logService = logService;
        this.self = self;
        this.onUpdate = onUpdate;
    }

    /** Returns true once the end of the stream has been reached for the first time. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Reads the stream until cancelled.
     *
     * @param peers keepers asked once for a snapshot of their ledger if a read fails before the end
     *     of the stream is reached
     */
    public Cancellable follow(Vertx vertx, List<Address> peers) {
        WebClient client = WebClient.create(vertx);
        return follow(ReadPace.standard(), code -> handleReadFailure(code, client, peers));
    }

    /** Reads the stream at the given pace until cancelled, without asking peers for snapshots. */
    public Cancellable follow(ReadPace pace) {
        return follow(pace, this::handleReadFailure);
    }

    private Cancellable follow(ReadPace pace, Consumer<ResultCode> onFailure) {
        return new LogFollower<LogPage>(LogStreams.LEDGER, this::readPage, pace)
                .follow(this::receivePage, onFailure);
    }

    private CompletableFuture<LogPage> readPage(long waitMillis) {
        return started
                ? readNext(waitMillis)
                : chooseStart().thenCompose(end -> readNext(waitMillis));
    }

    /** Searches for a recent snapshot first, so that a restart need not replay the whole stream. */
    private CompletableFuture<Long> chooseStart() {
        return logService.endOffset(LogStreams.LEDGER).thenApply(this::chooseStart);
    }

    private long chooseStart(long endOffset) {
        started = true;
        if (endOffset > SNAPSHOT_SEARCH_RECORDS) {
            cursor.searchFrom(endOffset - SNAPSHOT_SEARCH_RECORDS, endOffset);
        }
        return endOffset;
    }

    /** Reads without a wait until the end is reached, as a stream without records has no news. */
    private CompletableFuture<LogPage> readNext(long waitMillis) {
        return logService.read(
                LogStreams.LEDGER,
                cursor.readOffset(),
                MAX_READ_RECORDS,
                endReached ? waitMillis : 0);
    }

    /**
     * Appends a batch. A failure is only logged: the writer of the batch sends it again. So is an
     * offset that was read before the batch was sent: it is that of an earlier append.
     */
    public void append(List<SequencedRecord> batch) {
        List<String> lines = batch.stream().map(record -> WireEntry.encode(self, record)).toList();
        long lastSequence = batch.get(batch.size() - 1).sequence();
        long readOffset = cursor.readOffset();
        logService
                .append(LogStreams.LEDGER, lines)
                .thenApply(firstOffset -> requireUnread(firstOffset, readOffset))
                .thenAccept(
                        firstOffset -> onUpdate.accept(new LogUpdate.BatchAppended(lastSequence)))
                .exceptionally(LedgerStream::logAppendFailure);
    }

    private static long requireUnread(long firstOffset, long readOffset) {
        if (firstOffset < readOffset) {
            String detail =
                    "answer names offset " + firstOffset + ", read up to " + readOffset + " before";
            throw ResultException.of(ResultCode.LOG_UNAVAILABLE, detail);
        }
        return firstOffset;
    }

    /**
     * Reports the records of a page. One that can't be read is skipped by all readers alike, and
     * the cursor moves past it.
     */
    private void receivePage(LogPage page) {
        if (page.era() == era) {
            receivePageOfEra(page);
        } else {
            beginEra(page.era());
        }
    }

    /** Reads from the start again, as the offsets of another era name other records. */
    private void beginEra(long newEra) {
        era = newEra;
        cursor = LedgerCursor.atStart();
        started = false;
        endReached = false;
        onUpdate.accept(new LogUpdate.EraBegan(newEra));
    }

    private void receivePageOfEra(LogPage page) {
        boolean searching = cursor.isSearching();
        List<LogEntry> entries =
                page.records().stream()
                        .filter(item -> !searching || WireEntry.mayBeSnapshot(item.text()))
                        .flatMap(item -> decode(item).stream())
                        .toList();
        cursor.advance(page.earliestOffset(), entries).forEach(onUpdate);
        if (!page.records().isEmpty()) {
            long endOffset = page.records().get(page.records().size() - 1).offset() + 1;
            if (searching) {
                cursor.markSearched(endOffset);
            } else {
                cursor.jumpTo(endOffset);
            }
        }
        if (!endReached && !cursor.isSearching() && cursor.readOffset() >= page.endOffset()) {
            endReached = true;
            caughtUp = true;
            onUpdate.accept(new LogUpdate.CaughtUp());
        }
    }

    private void handleReadFailure(ResultCode code, WebClient client, List<Address> peers) {
        handleReadFailure(code);
        if (code != ResultCode.LOG_POSITION_EXPIRED) {
            requestPeerSnapshots(client, peers);
        }
    }

    private void handleReadFailure(ResultCode code) {
        if (code == ResultCode.LOG_POSITION_EXPIRED) {
            cursor.markExpired();
        } else {
            onUpdate.accept(new LogUpdate.ReachabilityReported(false));
            warnOnceBeforeCaughtUp();
        }
    }

    private void warnOnceBeforeCaughtUp() {
        if (!caughtUp && !startWarningLogged) {
            startWarningLogged = true;
            ResultCode code = ResultCode.PLATFORM_UNREACHABLE;
            LOG.warn("{} {}: log cannot be read; not ready until it answers", code.number(), code);
        }
    }

    private void requestPeerSnapshots(WebClient client, List<Address> peers) {
        if (!caughtUp && !peersAsked) {
            peersAsked = true;
            peers.forEach(peer -> requestPeerSnapshot(client, peer));
        }
    }

    private void requestPeerSnapshot(WebClient client, Address peer) {
        client.get(peer.port(), peer.ip(), "/ledger")
                .timeout(PEER_TIMEOUT_MILLIS)
                .send()
                .map(answer -> Json.read(answer.bodyAsString(), LedgerSnapshot.class))
                .onSuccess(this::loadSnapshot)
                .onFailure(
                        failure ->
                                LOG.info(
                                        "no ledger snapshot from peer {}: {}",
                                        peer,
                                        failure.getMessage()));
    }

    private void loadSnapshot(LedgerSnapshot snapshot) {
        cursor.jumpTo(snapshot.nextOffset());
        onUpdate.accept(new LogUpdate.SnapshotLoaded(snapshot));
    }

    private static Optional<LogEntry> decode(LogPage.Item item) {
        return GUARD.decode(
                "",
                item.offset(),
                () -> WireEntry.decode(item.offset(), item.timeMillis(), item.text()));
    }

    private static Void logAppendFailure(Throwable failure) {
        LOG.info("append of a batch failed: {}", failure.getMessage());
        return null;
    }
}

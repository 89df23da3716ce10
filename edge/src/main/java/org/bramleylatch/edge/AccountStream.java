package org.bramleylatch.edge;

import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerCursor;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.LedgerSnapshot;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.wire.Address;
import org.bramleylatch.wire.Json;
import org.bramleylatch.wire.WireEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the account stream into a world and appends the world's batches to it. */
public final class AccountStream {
    private static final Logger LOG = LoggerFactory.getLogger(AccountStream.class);
    private static final long PEER_TIMEOUT_MILLIS = 2_000;
    private static final int MOST_RECORDS = 5_000;

    /** Above what comes between two snapshots at the size of today. */
    private static final int SEARCHED_RECORDS = 400;

    private final LogService platform;
    private final Incarnation self;
    private final Consumer<LogUpdate> world;
    private final LedgerCursor cursor = LedgerCursor.atStart();
    private boolean begun;
    private boolean caughtUp;
    private boolean askedPeers;
    private boolean warned;

    /** Makes a reader; nothing is read yet. */
    public AccountStream(LogService platform, Incarnation self, Consumer<LogUpdate> world) {
        this.platform = platform;
        this.self = self;
        this.world = world;
    }

    /** Returns true once the end of the stream was reached. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Reads without end.
     *
     * @param peers keepers that are asked for their ledger while the platform can't be reached
     */
    public Cancellable follow(Vertx vertx, List<Address> peers) {
        WebClient client = WebClient.create(vertx);
        return follow(Pace.standard(), code -> failed(code, client, peers));
    }

    /** Reads without end at the given pace; there are no peers to ask. */
    public Cancellable follow(Pace pace) {
        return follow(pace, this::failed);
    }

    private Cancellable follow(Pace pace, Consumer<ResultCode> failures) {
        return new LogFollower<LogPage>(this::read, pace).follow(this::take, failures);
    }

    private CompletableFuture<LogPage> read(long waitMillis) {
        return begun ? readOn(waitMillis) : begin().thenCompose(end -> readOn(waitMillis));
    }

    /** Looks for a recent snapshot first, so that a restart need not fold the whole stream. */
    private CompletableFuture<Long> begin() {
        return platform.end(LogStreams.ACCOUNTS).thenApply(this::begin);
    }

    private long begin(long end) {
        begun = true;
        if (end > SEARCHED_RECORDS) {
            cursor.searchFrom(end - SEARCHED_RECORDS, end);
        }
        return end;
    }

    private CompletableFuture<LogPage> readOn(long waitMillis) {
        return platform.read(LogStreams.ACCOUNTS, cursor.readOffset(), MOST_RECORDS, waitMillis);
    }

    /** Appends a batch; a batch whose answer is lost is sent again by the world. */
    public void append(List<SequencedRecord> batch) {
        List<String> lines = batch.stream().map(record -> WireEntry.encode(self, record)).toList();
        long last = batch.get(batch.size() - 1).sequence();
        platform.append(LogStreams.ACCOUNTS, lines)
                .thenAccept(first -> world.accept(new LogUpdate.BatchAppended(last)))
                .exceptionally(AccountStream::logLost);
    }

    private void take(LogPage page) {
        boolean scanning = cursor.isSearching();
        List<LogEntry> entries =
                page.records().stream()
                        .filter(item -> !scanning || WireEntry.mayBeSnapshot(item.d()))
                        .map(AccountStream::decode)
                        .toList();
        cursor.advance(page.earliest(), entries).forEach(world);
        if (scanning && !page.records().isEmpty()) {
            cursor.markSearched(page.records().get(page.records().size() - 1).o() + 1);
        }
        if (!caughtUp && !cursor.isSearching() && cursor.readOffset() >= page.next()) {
            caughtUp = true;
            world.accept(new LogUpdate.CaughtUp());
        }
    }

    private void failed(ResultCode code, WebClient client, List<Address> peers) {
        failed(code);
        if (code != ResultCode.LOG_POSITION_EXPIRED) {
            askPeers(client, peers);
        }
    }

    private void failed(ResultCode code) {
        if (code == ResultCode.LOG_POSITION_EXPIRED) {
            cursor.markExpired();
        } else {
            world.accept(new LogUpdate.ReachabilityReported(false));
            warnAtStart();
        }
    }

    private void warnAtStart() {
        if (!caughtUp && !warned) {
            warned = true;
            ResultCode code = ResultCode.PLATFORM_UNREACHABLE;
            LOG.warn("{} {}: not ready until the log answers", code.number(), code);
        }
    }

    private void askPeers(WebClient client, List<Address> peers) {
        if (!caughtUp && !askedPeers) {
            askedPeers = true;
            peers.forEach(peer -> askPeer(client, peer));
        }
    }

    private void askPeer(WebClient client, Address peer) {
        client.get(peer.port(), peer.ip(), "/ledger")
                .timeout(PEER_TIMEOUT_MILLIS)
                .send()
                .map(answer -> Json.read(answer.bodyAsString(), LedgerSnapshot.class))
                .onSuccess(this::load)
                .onFailure(failure -> LOG.info("peer {}: {}", peer, failure.getMessage()));
    }

    private void load(LedgerSnapshot image) {
        cursor.jumpTo(image.nextOffset());
        world.accept(new LogUpdate.SnapshotLoaded(image));
    }

    private static LogEntry decode(LogPage.Item item) {
        return WireEntry.decode(item.o(), item.t(), item.d());
    }

    private static Void logLost(Throwable failure) {
        LOG.info("append: {}", failure.getMessage());
        return null;
    }
}

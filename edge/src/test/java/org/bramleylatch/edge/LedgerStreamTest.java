package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.LogUpdate;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.wire.WireEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Reads a ledger in which another writer left records that can't be read. */
class LedgerStreamTest {
    private static final ReadPace PACE = new ReadPace(0, () -> 0, Duration.ofMillis(100));
    private static final Incarnation WRITER = Incarnation.of("keeper@vm-1");
    private static final int MORE_THAN_A_SEARCH_COVERS = 450;

    private final List<String> log = new ArrayList<>();
    private final AtomicInteger reads = new AtomicInteger();
    private final BlockingQueue<LogUpdate> updates = new LinkedBlockingQueue<>();
    private final LedgerStream stream = new LedgerStream(new ListLog(), WRITER, updates::add);
    private Cancellable following = () -> {};
    private long appendOffset;
    private volatile long era;

    @AfterEach
    void stop() {
        following.cancel();
    }

    /** Guards against a keeper that reads the same page for ever and is never ready. */
    @Test
    void recordsThatCannotBeReadAreSkipped() throws Exception {
        log.add(record(1));
        log.add("");
        log.add("null");
        log.add("17");
        log.add("{\"v\":1}");
        log.add("[".repeat(200_000));
        log.add(record(2).replace("BudgetFunded", "FromTheFuture"));
        log.add(record(2).replace("100", "1e400"));
        log.add(record(2));
        log.add("truncated".substring(3));
        assertThat(readToEnd()).extracting(LogEntry::offset).containsExactly(0L, 8L);
        assertThat(reads.get()).isEqualTo(2);
    }

    /** Guards against BUDGET: records whose offsets had been read before the log's return. */
    @Test
    void aLogThatComesBackFromACopyIsReadFromItsBeginning() throws Exception {
        log.add(record(1));
        log.add(record(2));
        readToEnd();
        log.remove(1);
        log.add(record(3));
        era = 1;
        log.add(record(4));
        following.cancel();
        following = stream.follow(PACE);
        LogUpdate began = updates.poll(5, TimeUnit.SECONDS);
        while (!(began instanceof LogUpdate.EraBegan)) {
            began = updates.poll(5, TimeUnit.SECONDS);
            assertThat(began).isNotNull();
        }
        LogUpdate read = updates.poll(5, TimeUnit.SECONDS);
        assertThat(((LogUpdate.EntriesRead) read).entries())
                .extracting(LogEntry::sequence)
                .containsExactly(1L, 3L, 4L);
        assertThat(updates.poll(5, TimeUnit.SECONDS)).isInstanceOf(LogUpdate.CaughtUp.class);
    }

    /** Guards against a search for a snapshot that never ends. */
    @Test
    void recordsThatCannotBeReadAreSkippedInTheSearchForASnapshot() throws Exception {
        IntStream.range(0, MORE_THAN_A_SEARCH_COVERS).forEach(n -> log.add("SnapshotPart"));
        log.add(record(1));
        log.add("{\"v\":1,\"r\":{\"type\":\"SnapshotPart\"}}");
        assertThat(readToEnd())
                .extracting(LogEntry::offset)
                .containsExactly((long) MORE_THAN_A_SEARCH_COVERS);
    }

    /** Guards against a batch that is never sent again, though the log doesn't have it. */
    @Test
    void theAnswerToAnEarlierAppendNeverAcknowledgesALaterBatch() throws Exception {
        log.add(record(1));
        log.add(record(2));
        readToEnd();
        stream.append(List.of(sequencedRecord(3)));
        assertThat(updates).isEmpty();
        appendOffset = 2;
        stream.append(List.of(sequencedRecord(3)));
        assertThat(updates).containsExactly(new LogUpdate.BatchAppended(3));
    }

    private List<LogEntry> readToEnd() throws Exception {
        following = stream.follow(PACE);
        List<LogEntry> entries = new ArrayList<>();
        LogUpdate update = updates.poll(5, TimeUnit.SECONDS);
        while (update != null && !(update instanceof LogUpdate.CaughtUp)) {
            if (update instanceof LogUpdate.EntriesRead read) {
                entries.addAll(read.entries());
            }
            update = updates.poll(5, TimeUnit.SECONDS);
        }
        assertThat(update).isInstanceOf(LogUpdate.CaughtUp.class);
        return entries;
    }

    private static String record(long sequence) {
        return WireEntry.encode(WRITER, sequencedRecord(sequence));
    }

    private static SequencedRecord sequencedRecord(long sequence) {
        return new SequencedRecord(
                sequence, new LedgerRecord.BudgetFunded(BudgetId.of("ropes"), 100));
    }

    /** Holds the log in memory; a read at its end stays open. */
    private final class ListLog implements LogService {

        @Override
        public CompletableFuture<Long> append(String stream, List<String> records) {
            return CompletableFuture.completedFuture(appendOffset);
        }

        @Override
        public CompletableFuture<Long> endOffset(String stream) {
            return CompletableFuture.completedFuture((long) log.size());
        }

        @Override
        public CompletableFuture<LogPage> read(
                String stream, long from, int maxRecords, long waitMillis) {
            reads.incrementAndGet();
            if (from >= log.size()) {
                return new CompletableFuture<>();
            }
            List<LogPage.Item> items =
                    IntStream.range((int) from, log.size())
                            .mapToObj(offset -> new LogPage.Item(offset, 1_000, log.get(offset)))
                            .toList();
            return CompletableFuture.completedFuture(new LogPage(era, 0, log.size(), items));
        }
    }
}

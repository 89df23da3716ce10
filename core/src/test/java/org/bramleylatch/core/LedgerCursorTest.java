package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LedgerCursorTest {
    private static final Incarnation WRITER = Incarnation.of("writer");

    private final LedgerCursor cursor = LedgerCursor.atStart();
    private final List<LogEntry> log = new ArrayList<>();

    @Test
    void aReadMovesTheCursorPastTheEntriesRead() {
        appendBudgets(3);
        assertThat(cursor.advance(0, log)).hasSize(1);
        assertThat(cursor.readOffset()).isEqualTo(3);
    }

    @Test
    void entriesThatWereReadBeforeAreNotDeliveredAgain() {
        appendBudgets(3);
        cursor.advance(0, log);
        assertThat(cursor.advance(0, log))
                .containsExactly(new LogUpdate.ReachabilityReported(true));
    }

    @Test
    void anExpiredPositionIsReplacedByASnapshotAndNeverSkipped() {
        appendBudgets(4);
        Ledger ledger = Ledger.empty();
        log.forEach(LedgerFold.of(ledger)::apply);
        SnapshotAssembly.split(ledger.snapshot()).forEach(this::append);
        appendBudgets(2);
        cursor.markExpired();
        assertThat(cursor.readOffset()).isEqualTo(LedgerCursor.EARLIEST);
        List<LogUpdate> updates = cursor.advance(3, log.subList(3, log.size()));
        assertThat(updates).containsExactly(new LogUpdate.SnapshotLoaded(ledger.snapshot()));
        assertThat(cursor.readOffset()).isEqualTo(4);
    }

    @Test
    void aSearchOfTheWholeLogEndsAndReadingStartsAtTheFirstRecord() {
        cursor.searchFrom(2, 6);
        cursor.markSearched(4);
        assertThat(cursor.readOffset()).isEqualTo(4);
        cursor.markSearched(6);
        assertThat(cursor.isSearching()).isFalse();
        assertThat(cursor.readOffset()).isZero();
    }

    @Test
    void aSearchWithoutASnapshotNextCoversFourTimesAsManyRecords() {
        cursor.searchFrom(90, 100);
        cursor.markSearched(100);
        assertThat(cursor.readOffset()).isEqualTo(60);
        cursor.markSearched(100);
        assertThat(cursor.isSearching()).isFalse();
    }

    @Test
    void aSnapshotIsIgnoredIfTheRecordsAfterItAreNoLongerKept() {
        appendBudgets(4);
        Ledger ledger = Ledger.empty();
        log.forEach(LedgerFold.of(ledger)::apply);
        SnapshotAssembly.split(ledger.snapshot()).forEach(this::append);
        cursor.markExpired();
        assertThat(cursor.advance(5, log.subList(4, log.size()))).isEmpty();
        assertThat(cursor.isSearching()).isTrue();
    }

    @Test
    void aSnapshotWhoseDigestDoesNotMatchIsIgnored() {
        appendBudgets(4);
        Ledger ledger = Ledger.empty();
        log.forEach(LedgerFold.of(ledger)::apply);
        LedgerRecord.SnapshotPart part = SnapshotAssembly.split(ledger.snapshot()).get(0);
        append(
                new LedgerRecord.SnapshotPart(
                        part.nextOffset(), part.logMillis(), 0, 1, part.digest() + 1, part.rows()));
        cursor.markExpired();
        assertThat(cursor.advance(0, log)).isEmpty();
    }

    @Test
    void aSearchThatFindsASnapshotContinuesAfterIt() {
        appendBudgets(4);
        Ledger ledger = Ledger.empty();
        log.forEach(LedgerFold.of(ledger)::apply);
        SnapshotAssembly.split(ledger.snapshot()).forEach(this::append);
        appendBudgets(2);
        cursor.searchFrom(3, log.size());
        assertThat(cursor.readOffset()).isEqualTo(3);
        assertThat(cursor.advance(0, log.subList(3, log.size())))
                .containsExactly(new LogUpdate.SnapshotLoaded(ledger.snapshot()));
        assertThat(cursor.readOffset()).isEqualTo(4);
    }

    @Test
    void aSearchThatReadsNoSnapshotEndsAndReadingStartsAtTheFirstRecord() {
        appendBudgets(4);
        cursor.searchFrom(2, log.size());
        assertThat(cursor.advance(0, log.subList(2, 4))).isEmpty();
        assertThat(cursor.isSearching()).isFalse();
        assertThat(cursor.readOffset()).isZero();
    }

    private void appendBudgets(int count) {
        for (int index = 0; index < count; index++) {
            append(new LedgerRecord.BudgetCreated(BudgetId.of("budget-" + log.size()), "w"));
        }
    }

    private void append(LedgerRecord record) {
        log.add(new LogEntry(log.size(), 0, WRITER, log.size() + 1, record));
    }
}

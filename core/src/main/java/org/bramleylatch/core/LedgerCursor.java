package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides from which offset a ledger stream is read next. If the platform no longer keeps the
 * record at the position, the cursor searches for a complete snapshot and continues after it. It
 * skips no record unless a snapshot covers it.
 */
public final class LedgerCursor {
    /** As an offset, asks the platform for the oldest record that it keeps. */
    public static final long EARLIEST = -1;

    /**
     * Finds a snapshot in few rounds in a fleet of any size without reading many more records than
     * needed.
     */
    private static final long SEARCH_GROWTH_FACTOR = 4;

    private final SnapshotAssembly assembly = SnapshotAssembly.empty();
    private long nextOffset;
    private long searchOffset = EARLIEST;
    private boolean searching;
    private long searchedRecords;
    private OptionalLong searchEndOffset = OptionalLong.empty();

    private LedgerCursor() {}

    /** Returns a cursor at offset 0. */
    public static LedgerCursor atStart() {
        return new LedgerCursor();
    }

    /** Returns the offset of the next read, or {@link #EARLIEST}. */
    public long readOffset() {
        return searching ? searchOffset : nextOffset;
    }

    /** Returns true while the cursor searches for a snapshot. */
    public boolean isSearching() {
        return searching;
    }

    /**
     * Starts a search for a snapshot between two offsets. If it finds none, the next search covers
     * four times as many records before the end. Once that would be the whole stream, the search
     * ends, and reading continues at the position from before it.
     *
     * @param offset the first offset to search
     * @param endOffset the end of the stream when the search starts
     */
    public void searchFrom(long offset, long endOffset) {
        searching = true;
        searchOffset = offset;
        searchedRecords = endOffset - offset;
        searchEndOffset = OptionalLong.of(endOffset);
    }

    /**
     * Starts a search from the oldest record, because the platform no longer keeps the one at the
     * position.
     */
    public void markExpired() {
        searching = true;
        searchEndOffset = OptionalLong.empty();
        searchOffset = EARLIEST;
    }

    /**
     * Moves forward to the offset, because a snapshot from another source covers all records before
     * it, or because the records up to it that were not read can't be.
     */
    public void jumpTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Moves past the entries that a read returned.
     *
     * @param earliestOffset the oldest offset that the platform keeps
     * @return the updates for the world, in order; empty while a search has found no snapshot
     */
    public List<LogUpdate> advance(long earliestOffset, List<LogEntry> entries) {
        return searching ? search(earliestOffset, entries) : follow(entries);
    }

    /**
     * Moves a running search forward to the offset, because there is no part of a snapshot before
     * it.
     */
    public void markSearched(long offset) {
        if (searching) {
            searchOffset = Math.max(searchOffset, offset);
            widenOrEndSearch();
        }
    }

    private List<LogUpdate> follow(List<LogEntry> entries) {
        List<LogEntry> unread =
                entries.stream().filter(entry -> entry.offset() >= nextOffset).toList();
        if (unread.isEmpty()) {
            return List.of(new LogUpdate.ReachabilityReported(true));
        }
        nextOffset = unread.get(unread.size() - 1).offset() + 1;
        return List.of(new LogUpdate.EntriesRead(unread));
    }

    private List<LogUpdate> search(long earliestOffset, List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            searchOffset = entry.offset() + 1;
            Optional<LedgerSnapshot> snapshot = snapshotEndingAt(entry, earliestOffset);
            if (snapshot.isPresent()) {
                nextOffset = snapshot.get().nextOffset();
                endSearch();
                return List.of(new LogUpdate.SnapshotLoaded(snapshot.get()));
            }
        }
        widenOrEndSearch();
        return List.of();
    }

    /** Searches further back, or ends the search, once all of its range was read. */
    private void widenOrEndSearch() {
        if (searchEndOffset.isPresent() && searchOffset >= searchEndOffset.getAsLong()) {
            searchedRecords *= SEARCH_GROWTH_FACTOR;
            long offset = searchEndOffset.getAsLong() - searchedRecords;
            if (offset > 0) {
                searchOffset = offset;
            } else {
                endSearch();
            }
        }
    }

    private void endSearch() {
        searching = false;
        searchEndOffset = OptionalLong.empty();
    }

    private Optional<LedgerSnapshot> snapshotEndingAt(LogEntry entry, long earliestOffset) {
        return entry.record() instanceof LedgerRecord.SnapshotPart part
                ? assembly.add(entry.writer(), part)
                        .filter(snapshot -> snapshot.nextOffset() >= earliestOffset)
                        .filter(snapshot -> snapshot.nextOffset() >= nextOffset)
                : Optional.empty();
    }
}

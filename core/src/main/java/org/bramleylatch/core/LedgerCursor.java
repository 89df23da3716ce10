package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides where to read an account stream. A reader whose position is no longer kept looks for a
 * complete snapshot and goes on behind it; it never skips records that it has not folded.
 */
public final class LedgerCursor {
    /** Asks the platform for the oldest record that it keeps. */
    public static final long EARLIEST = -1;

    /** Few rounds reach a snapshot in a fleet of any size, and little is read in vain. */
    private static final long WIDER = 4;

    private final SnapshotAssembly assembly = SnapshotAssembly.empty();
    private long nextOffset;
    private long scanOffset = EARLIEST;
    private boolean scanning;
    private long searchedRecords;
    private OptionalLong searchEndOffset = OptionalLong.empty();

    private LedgerCursor() {}

    /** Returns a cursor at the beginning of the stream. */
    public static LedgerCursor atStart() {
        return new LedgerCursor();
    }

    /** Returns the offset to read from, or {@link #EARLIEST}. */
    public long readOffset() {
        return scanning ? scanOffset : nextOffset;
    }

    /** Returns true while the cursor looks for a snapshot. */
    public boolean isScanning() {
        return scanning;
    }

    /**
     * Begins with a snapshot behind the given offset. If there is none up to the end of the stream,
     * four times as many records are searched; if that is all of it, reading begins anew at its
     * first record.
     *
     * @param offset where to look from
     * @param endOffset the end of the stream
     */
    public void searchFrom(long offset, long endOffset) {
        scanning = true;
        scanOffset = offset;
        searchedRecords = endOffset - offset;
        searchEndOffset = OptionalLong.of(endOffset);
    }

    /** Notes that the platform no longer keeps the record at the position. */
    public void expired() {
        scanning = true;
        searchEndOffset = OptionalLong.empty();
        scanOffset = EARLIEST;
    }

    /** Notes that everything before the offset is known from elsewhere. */
    public void jumpTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Takes what a read returned.
     *
     * @param earliest the oldest offset that the platform keeps
     * @return what the world is told, in order
     */
    public List<LedgerFeed> take(long earliest, List<LogEntry> entries) {
        return scanning ? scan(earliest, entries) : follow(entries);
    }

    /** Notes that a scan found no part of a snapshot before the offset. */
    public void scanned(long offset) {
        if (scanning) {
            scanOffset = Math.max(scanOffset, offset);
            endSearchAtItsEnd();
        }
    }

    private List<LedgerFeed> follow(List<LogEntry> entries) {
        List<LogEntry> fresh = entries.stream().filter(e -> e.offset() >= nextOffset).toList();
        if (fresh.isEmpty()) {
            return List.of(new LedgerFeed.LogSeen(true));
        }
        nextOffset = fresh.get(fresh.size() - 1).offset() + 1;
        return List.of(new LedgerFeed.EntriesRead(fresh));
    }

    private List<LedgerFeed> scan(long earliest, List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            scanOffset = entry.offset() + 1;
            Optional<LedgerImage> image = imageEndingAt(entry, earliest);
            if (image.isPresent()) {
                nextOffset = image.get().nextOffset();
                endScan();
                return List.of(new LedgerFeed.SnapshotLoaded(image.get()));
            }
        }
        endSearchAtItsEnd();
        return List.of();
    }

    /** Looks further back once the part that was searched holds no snapshot. */
    private void endSearchAtItsEnd() {
        if (searchEndOffset.isPresent() && scanOffset >= searchEndOffset.getAsLong()) {
            searchedRecords *= WIDER;
            long offset = searchEndOffset.getAsLong() - searchedRecords;
            if (offset > 0) {
                scanOffset = offset;
            } else {
                endScan();
            }
        }
    }

    private void endScan() {
        scanning = false;
        searchEndOffset = OptionalLong.empty();
    }

    private Optional<LedgerImage> imageEndingAt(LogEntry entry, long earliest) {
        return entry.record() instanceof LedgerRecord.SnapshotPart part
                ? assembly.add(entry.writer(), part)
                        .filter(image -> image.nextOffset() >= earliest)
                        .filter(image -> image.nextOffset() >= nextOffset)
                : Optional.empty();
    }
}

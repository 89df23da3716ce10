package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides where to read an account stream. A reader whose position is no longer kept looks for a
 * complete snapshot and goes on behind it; it never skips records that it has not folded.
 */
public final class LedgerCursor {
    /** Asks the platform for the oldest record that it keeps. */
    public static final long EARLIEST = -1;

    private final SnapshotAssembly assembly = SnapshotAssembly.empty();
    private long nextOffset;
    private long scanOffset = EARLIEST;
    private boolean scanning;

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

    /** Notes that the platform no longer keeps the record at the position. */
    public void expired() {
        scanning = true;
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

    private List<LedgerFeed> follow(List<LogEntry> entries) {
        List<LogEntry> fresh = entries.stream().filter(e -> e.offset() >= nextOffset).toList();
        if (fresh.isEmpty()) {
            return List.of(new LedgerFeed.LogSeen(true));
        }
        nextOffset = fresh.get(fresh.size() - 1).offset() + 1;
        return List.of(new LedgerFeed.EntriesRead(fresh));
    }

    private List<LedgerFeed> scan(long earliest, List<LogEntry> entries) {
        List<LedgerFeed> inputs = new ArrayList<>();
        for (LogEntry entry : entries) {
            scanOffset = entry.offset() + 1;
            Optional<LedgerImage> image = imageEndingAt(entry, earliest);
            if (image.isPresent()) {
                nextOffset = image.get().nextOffset();
                scanning = false;
                inputs.add(new LedgerFeed.SnapshotLoaded(image.get()));
                return inputs;
            }
        }
        return inputs;
    }

    private Optional<LedgerImage> imageEndingAt(LogEntry entry, long earliest) {
        return entry.record() instanceof LedgerRecord.SnapshotPart part
                ? assembly.add(entry.writer(), part)
                        .filter(image -> image.nextOffset() >= earliest)
                        .filter(image -> image.nextOffset() >= nextOffset)
                : Optional.empty();
    }
}

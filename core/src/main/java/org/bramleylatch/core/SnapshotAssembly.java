package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.SnapshotPart;

/**
 * Splits a snapshot into records and assembles such records into a snapshot again. A snapshot that
 * lacks a part or whose digest does not match is never returned.
 */
public final class SnapshotAssembly {
    /** Limits the rows that one record carries. */
    public static final int ROWS_PER_PART = 500;

    private final Table<SnapshotKey, List<SnapshotPart>> partsBySnapshot = Table.empty();

    private SnapshotAssembly() {}

    /** Returns an assembly without any part. */
    public static SnapshotAssembly empty() {
        return new SnapshotAssembly();
    }

    /** Returns the records that carry the snapshot, at least one. */
    public static List<SnapshotPart> split(LedgerSnapshot snapshot) {
        int count = Math.max(1, (snapshot.rows().size() + ROWS_PER_PART - 1) / ROWS_PER_PART);
        long digest = snapshot.digest();
        List<SnapshotPart> parts = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            parts.add(part(snapshot, digest, index, count));
        }
        return parts;
    }

    /**
     * Adds a part that was read from the log. A part out of order is ignored.
     *
     * @return the snapshot that this part completes; empty if parts are missing or the digest does
     *     not match
     */
    public Optional<LedgerSnapshot> add(Incarnation writer, SnapshotPart part) {
        SnapshotKey key = new SnapshotKey(writer, part.nextOffset());
        List<SnapshotPart> parts = partsBySnapshot.findOrAdd(key, ArrayList::new);
        if (part.index() == parts.size()) {
            parts.add(part);
        }
        return parts.size() == part.count() ? complete(key, parts) : Optional.empty();
    }

    private Optional<LedgerSnapshot> complete(SnapshotKey key, List<SnapshotPart> parts) {
        partsBySnapshot.remove(key);
        List<LedgerSnapshot.Row> rows =
                parts.stream().flatMap(part -> part.rows().stream()).toList();
        LedgerSnapshot snapshot =
                new LedgerSnapshot(key.nextOffset(), parts.get(0).logMillis(), rows);
        return Optional.of(snapshot)
                .filter(assembled -> assembled.digest() == parts.get(0).digest());
    }

    private static SnapshotPart part(LedgerSnapshot snapshot, long digest, int index, int count) {
        int fromRow = index * ROWS_PER_PART;
        int toRow = Math.min(snapshot.rows().size(), fromRow + ROWS_PER_PART);
        return new SnapshotPart(
                snapshot.nextOffset(),
                snapshot.logMillis(),
                index,
                count,
                digest,
                snapshot.rows().subList(fromRow, toRow));
    }

    private record SnapshotKey(Incarnation writer, long nextOffset) {}
}

package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.LedgerRecord.SnapshotPart;

/**
 * Splits a ledger image into records and puts such records together again. An image whose digest
 * does not match, or that lacks a part, is not returned.
 */
public final class SnapshotAssembly {
    /** The most rows that one record carries. */
    public static final int ROWS_PER_PART = 500;

    private final Table<SnapshotKey, List<SnapshotPart>> open = Table.empty();

    private SnapshotAssembly() {}

    /** Returns an assembly without parts. */
    public static SnapshotAssembly empty() {
        return new SnapshotAssembly();
    }

    /** Returns the records that carry the image. */
    public static List<SnapshotPart> split(LedgerImage image) {
        int count = Math.max(1, (image.rows().size() + ROWS_PER_PART - 1) / ROWS_PER_PART);
        long digest = image.digest();
        List<SnapshotPart> parts = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            parts.add(part(image, digest, index, count));
        }
        return parts;
    }

    /**
     * Adds a part that was read from the log.
     *
     * @return the image, if this part completes one whose digest matches
     */
    public Optional<LedgerImage> add(Incarnation writer, SnapshotPart part) {
        SnapshotKey key = new SnapshotKey(writer, part.nextOffset());
        List<SnapshotPart> parts = open.findOrAdd(key, ArrayList::new);
        if (part.index() == parts.size()) {
            parts.add(part);
        }
        return parts.size() == part.count() ? complete(key, parts) : Optional.empty();
    }

    private Optional<LedgerImage> complete(SnapshotKey key, List<SnapshotPart> parts) {
        open.remove(key);
        List<LedgerImage.Row> rows = parts.stream().flatMap(p -> p.rows().stream()).toList();
        LedgerImage image = new LedgerImage(key.nextOffset(), parts.get(0).logMillis(), rows);
        return Optional.of(image).filter(whole -> whole.digest() == parts.get(0).digest());
    }

    private static SnapshotPart part(LedgerImage image, long digest, int index, int count) {
        int from = index * ROWS_PER_PART;
        int to = Math.min(image.rows().size(), from + ROWS_PER_PART);
        return new SnapshotPart(
                image.nextOffset(),
                image.logMillis(),
                index,
                count,
                digest,
                image.rows().subList(from, to));
    }

    private record SnapshotKey(Incarnation writer, long nextOffset) {}
}

package org.bramleylatch.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides where to read the configuration stream and folds it. A reader whose position is no longer
 * kept looks for a snapshot of the whole document; it never goes back to an older revision.
 */
public final class ConfigReader {
    private static final long EARLIEST = -1;

    private final ConfigDocument document = ConfigDocument.empty();
    private boolean scanning;
    private long scanOffset;
    private long snapshotMillis;

    private ConfigReader() {}

    /** Returns a reader at the beginning of the stream. */
    public static ConfigReader atStart() {
        return new ConfigReader();
    }

    /** Returns the document as far as it was read. */
    public ConfigDocument document() {
        return document;
    }

    /** Returns the offset to read from; -1 asks for the oldest record that is kept. */
    public long readOffset() {
        return scanning ? scanOffset : document.nextOffset();
    }

    /** Returns the log's time of the latest snapshot that was read, in milliseconds. */
    public long snapshotMillis() {
        return snapshotMillis;
    }

    /** Notes that the platform no longer keeps the record at the position. */
    public void expired() {
        scanning = true;
        scanOffset = EARLIEST;
    }

    /**
     * Folds a record. One that is not the next is passed over; it will be read again in its turn.
     *
     * @param earliest the oldest offset that the platform keeps
     * @return the proposal with its verdict, if the record was one
     */
    public List<Judged> take(long earliest, long offset, long timeMillis, String text) {
        if (!scanning && offset != document.nextOffset()) {
            return List.of();
        }
        ConfigRecord record = Json.read(text, ConfigRecord.class);
        if (record instanceof ConfigRecord.DocumentSnapshot snapshot) {
            snapshotMillis = Math.max(snapshotMillis, timeMillis);
            takeSnapshot(earliest, offset, timeMillis, snapshot);
            return List.of();
        }
        List<Judged> judged = new ArrayList<>();
        if (scanning) {
            scanOffset = offset + 1;
        } else if (record instanceof ConfigRecord.SectionProposed proposal) {
            judged.add(new Judged(offset, proposal, document.apply(offset, timeMillis, proposal)));
        }
        return judged;
    }

    private void takeSnapshot(
            long earliest, long offset, long timeMillis, ConfigRecord.DocumentSnapshot snapshot) {
        if (!scanning) {
            document.advance(offset, timeMillis);
        } else if (snapshot.nextOffset() >= earliest && document.load(snapshot)) {
            scanning = false;
        } else {
            scanOffset = offset + 1;
        }
    }

    /** Is a proposal with the verdict of the fold; a refusal, or empty if it was accepted. */
    public record Judged(
            long offset,
            ConfigRecord.SectionProposed proposal,
            Optional<ConfigDocument.Verdict> refusal) {}
}

package org.bramleylatch.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides from which offset to read the configuration stream and applies its records. If the record
 * at that offset has expired, the reader searches the stream for a snapshot of the whole document.
 * A snapshot that is older than the document is not loaded, so revisions never go back.
 */
public final class ConfigReader {
    private static final long EARLIEST = -1;

    private final ConfigDocument document = ConfigDocument.empty();
    private boolean searching;
    private long searchOffset;
    private long latestSnapshotMillis;

    private ConfigReader() {}

    /** Creates a reader at the beginning of the stream. */
    public static ConfigReader atStart() {
        return new ConfigReader();
    }

    /** Returns the document with every record applied that was read so far. */
    public ConfigDocument document() {
        return document;
    }

    /** Returns the offset to read from; -1 requests the oldest record that the platform keeps. */
    public long readOffset() {
        return searching ? searchOffset : document.nextOffset();
    }

    /**
     * Returns the log time of the latest snapshot read, in milliseconds since the epoch; 0 for
     * none.
     */
    public long latestSnapshotMillis() {
        return latestSnapshotMillis;
    }

    /** Starts the search for a snapshot, since the record at the read offset has expired. */
    public void markExpired() {
        searching = true;
        searchOffset = EARLIEST;
    }

    /**
     * Applies a record. Outside a search for a snapshot, a record that is not the next in order is
     * ignored; it is read again once it is the next.
     *
     * @param earliest the oldest offset that the platform keeps; a snapshot that ends before it is
     *     not loaded, since the records that follow the snapshot have expired
     * @param timeMillis the time of the append, in milliseconds since the epoch, by the clock of
     *     the process that appended the record, or by the log's own
     * @return the proposal with its result; empty if the record is a snapshot or was not applied
     */
    public List<ProposalResult> apply(long earliest, long offset, long timeMillis, String text) {
        if (!searching && offset != document.nextOffset()) {
            return List.of();
        }
        ConfigRecord record = Json.read(text, ConfigRecord.class);
        if (record instanceof ConfigRecord.DocumentSnapshot snapshot) {
            latestSnapshotMillis = Math.max(latestSnapshotMillis, timeMillis);
            applySnapshot(earliest, offset, timeMillis, snapshot);
            return List.of();
        }
        List<ProposalResult> results = new ArrayList<>();
        if (searching) {
            searchOffset = offset + 1;
        } else if (record instanceof ConfigRecord.SectionProposed proposal) {
            results.add(
                    new ProposalResult(
                            offset, proposal, document.apply(offset, timeMillis, proposal)));
        }
        return results;
    }

    private void applySnapshot(
            long earliest, long offset, long timeMillis, ConfigRecord.DocumentSnapshot snapshot) {
        if (!searching) {
            document.markRead(offset, timeMillis);
        } else if (snapshot.nextOffset() >= earliest && document.load(snapshot)) {
            searching = false;
        } else {
            searchOffset = offset + 1;
        }
    }

    /**
     * Holds a proposal that was applied and its result.
     *
     * @param refusal empty if the proposal was accepted
     */
    public record ProposalResult(
            long offset,
            ConfigRecord.SectionProposed proposal,
            Optional<ConfigDocument.Refusal> refusal) {}
}

package org.bramleylatch.wire;

import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.SequencedRecord;

/**
 * Holds a ledger record in the form in which it is written to the log.
 *
 * @param v the version of the encoding
 * @param w the incarnation of the writer
 * @param s the sequence number that the writer gave the record
 * @param r the record
 */
public record WireEntry(int v, Incarnation w, long s, LedgerRecord r) {
    /** The version of the encoding that {@link #encode} writes. */
    public static final int VERSION = 1;

    private static final String SNAPSHOT_TYPE_ID =
            OuterNames.typeId(LedgerRecord.SnapshotPart.class);

    /** Encodes a record with its sequence number as the text of a log entry. */
    public static String encode(Incarnation writer, SequencedRecord sequencedRecord) {
        return Json.write(
                new WireEntry(
                        VERSION, writer, sequencedRecord.sequence(), sequencedRecord.record()));
    }

    /**
     * Searches the text for the type id of a part of a snapshot, which is far cheaper than
     * decoding.
     *
     * @return false if the text is certainly no part of a snapshot
     */
    public static boolean mayBeSnapshot(String text) {
        return text.contains(SNAPSHOT_TYPE_ID);
    }

    /**
     * Decodes the text of a log entry.
     *
     * @param timeMillis the time of the append, in milliseconds since the epoch, by the clock of
     *     the process that appended the entry, or by the log's own
     * @throws org.bramleylatch.core.ResultException with MALFORMED_JSON if the text does not fit
     */
    public static LogEntry decode(long offset, long timeMillis, String text) {
        WireEntry entry = Json.readComplete(text, WireEntry.class);
        return new LogEntry(offset, timeMillis, entry.w, entry.s, entry.r);
    }
}

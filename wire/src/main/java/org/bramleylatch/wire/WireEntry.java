package org.bramleylatch.wire;

import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.SequencedRecord;

/**
 * Is a ledger record as it stands in the log.
 *
 * @param v the version of the encoding
 * @param w the writer
 * @param s the writer's count
 * @param r the record
 */
public record WireEntry(int v, Incarnation w, long s, LedgerRecord r) {
    /** The version that this code writes. */
    public static final int VERSION = 1;

    private static final String SNAPSHOT = LedgerRecord.SnapshotPart.class.getSimpleName();

    /** Returns the text of a numbered record of the given writer. */
    public static String encode(Incarnation writer, SequencedRecord numbered) {
        return Json.write(new WireEntry(VERSION, writer, numbered.sequence(), numbered.record()));
    }

    /** Returns false if the text is surely no part of a snapshot; far cheaper than decoding it. */
    public static boolean mayBeSnapshot(String text) {
        return text.contains(SNAPSHOT);
    }

    /** Returns the entry at the given offset and time, in milliseconds since the epoch. */
    public static LogEntry decode(long offset, long timeMillis, String text) {
        WireEntry entry = Json.read(text, WireEntry.class);
        return new LogEntry(offset, timeMillis, entry.w, entry.s, entry.r);
    }
}

package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Holds one record with its position in the log.
 *
 * @param offset the position in the stream
 * @param timeMillis the time of the append, in milliseconds since the epoch, by the clock of the
 *     process that appended the record; the platform's stand-in uses its own clock
 * @param writer the process that appended the record
 * @param sequence the number that the writer gave the record; a repeated append carries the same
 *     one
 * @param record the proposed change
 */
public record LogEntry(
        long offset, long timeMillis, Incarnation writer, long sequence, LedgerRecord record) {

    /** Throws {@link NullPointerException} if the writer or the record is null. */
    public LogEntry {
        requireNonNull(writer, "writer");
        requireNonNull(record, "record");
    }
}

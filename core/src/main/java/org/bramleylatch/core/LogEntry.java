package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Is one record as the log holds it.
 *
 * @param offset the position in the stream
 * @param timeMillis the platform's time of the append, in milliseconds since the epoch
 * @param writer the process that appended the record
 * @param sequence the writer's own count; a repeated append carries the same one
 * @param record the proposal
 */
public record LogEntry(
        long offset, long timeMillis, Incarnation writer, long sequence, LedgerRecord record) {

    /** Checks that the writer and the record are present. */
    public LogEntry {
        requireNonNull(writer, "writer");
        requireNonNull(record, "record");
    }
}

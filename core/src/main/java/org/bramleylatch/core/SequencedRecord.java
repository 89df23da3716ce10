package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Holds a record with the sequence number under which its writer appends it.
 *
 * @param sequence counts the writer's records from 1; a repeated append carries the same number
 */
public record SequencedRecord(long sequence, LedgerRecord record) {

    /** Throws {@link NullPointerException} if the record is null. */
    public SequencedRecord {
        requireNonNull(record, "record");
    }
}

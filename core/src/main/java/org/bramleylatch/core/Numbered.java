package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

/**
 * Is a record with the writer's own count, as it is appended.
 *
 * @param sequence the count; a repeated append carries the same one
 */
public record Numbered(long sequence, LedgerRecord record) {

    /** Checks that the record is present. */
    public Numbered {
        requireNonNull(record, "record");
    }
}

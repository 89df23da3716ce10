package org.bramleylatch.edge;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Holds the result of one read of a stream.
 *
 * @param era counts how often the platform came back from a copy, with which offsets are given out
 *     again; 0 if it never does
 * @param earliestOffset the offset of the oldest record that the platform still keeps
 * @param endOffset one more than the offset of the newest record of the stream, also when the page
 *     ends earlier
 */
public record LogPage(
        long era,
        @JsonProperty("earliest") long earliestOffset,
        @JsonProperty("next") long endOffset,
        List<Item> records) {

    /** Copies the list. */
    public LogPage {
        records = List.copyOf(records);
    }

    /** Creates a page of a log that never comes back from a copy. */
    public LogPage(long earliestOffset, long endOffset, List<Item> records) {
        this(0, earliestOffset, endOffset, records);
    }

    /**
     * Holds one record and its offset.
     *
     * @param timeMillis the time of the append, in milliseconds since the epoch, by the clock of
     *     the process that appended the record, or by the log's own
     */
    public record Item(
            @JsonProperty("o") long offset,
            @JsonProperty("t") long timeMillis,
            @JsonProperty("d") String text) {}
}

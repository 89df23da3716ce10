package org.bramleylatch.edge;

import java.util.List;

/**
 * Holds the result of one read of a stream.
 *
 * @param earliest the offset of the oldest record that the platform still keeps
 * @param next the end offset of the stream: one more than the offset of its newest record
 */
public record LogPage(long earliest, long next, List<Item> records) {

    /** Copies the list. */
    public LogPage {
        records = List.copyOf(records);
    }

    /**
     * Holds one record.
     *
     * @param o its offset
     * @param t the time of the append by the clock of the platform, in milliseconds since the epoch
     * @param d its text
     */
    public record Item(long o, long t, String d) {}
}

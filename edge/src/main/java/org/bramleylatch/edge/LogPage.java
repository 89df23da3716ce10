package org.bramleylatch.edge;

import java.util.List;

/**
 * Is what one read of a stream returned.
 *
 * @param earliest the offset of the oldest record that the platform still keeps
 * @param next the offset behind the last record of the stream
 */
public record LogPage(long earliest, long next, List<Item> records) {

    /** Copies the list. */
    public LogPage {
        records = List.copyOf(records);
    }

    /**
     * Is one record.
     *
     * @param o its offset
     * @param t the platform's time of the append, in milliseconds since the epoch
     * @param d its text
     */
    public record Item(long o, long t, String d) {}
}

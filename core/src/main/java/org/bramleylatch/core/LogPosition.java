package org.bramleylatch.core;

import java.util.Comparator;

/**
 * Names a place in the log. A log that comes back from a copy begins another era, in which it gives
 * out the offsets of the records that it lost again.
 *
 * @param offset the offset of the next record to read
 */
public record LogPosition(long era, long offset) implements Comparable<LogPosition> {
    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::era).thenComparingLong(LogPosition::offset);

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }
}

package org.bramleylatch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bramleylatch.edge.LogPage;

/**
 * Holds one append-only stream of records with consecutive offsets; only the latest are retained.
 */
final class LogStream {
    private final int retainRecords;
    private final List<LogPage.Item> items = new ArrayList<>();
    private final List<Consumer<LogStream>> waiters = new ArrayList<>();
    private long earliestOffset;

    LogStream(int retainRecords) {
        this.retainRecords = retainRecords;
    }

    /** Appends the records and notifies the waiting readers; returns the first new offset. */
    long append(List<String> records, long nowMillis) {
        long firstOffset = endOffset();
        records.forEach(text -> items.add(new LogPage.Item(endOffset(), nowMillis, text)));
        truncate();
        List<Consumer<LogStream>> notified = List.copyOf(waiters);
        waiters.clear();
        notified.forEach(waiter -> waiter.accept(this));
        return firstOffset;
    }

    /** Computes the offset of the next record to be appended. */
    long endOffset() {
        return earliestOffset + items.size();
    }

    /** Returns the offset of the oldest retained record, or the end offset if there is none. */
    long earliestOffset() {
        return earliestOffset;
    }

    /** Reads a page from the given offset, or from the oldest retained one if that is later. */
    LogPage page(long fromOffset, int maxRecords) {
        int start = (int) (Math.max(fromOffset, earliestOffset) - earliestOffset);
        int end = Math.min(items.size(), start + maxRecords);
        List<LogPage.Item> records = start < end ? items.subList(start, end) : List.of();
        return new LogPage(earliestOffset, endOffset(), records);
    }

    /** Calls the waiter once, after the next append. */
    void awaitAppend(Consumer<LogStream> waiter) {
        waiters.add(waiter);
    }

    /** Removes a waiter, so that it is not called by later appends. */
    void cancelAwait(Consumer<LogStream> waiter) {
        waiters.remove(waiter);
    }

    /**
     * Drops the records in excess of the retained number once they are more than a quarter of it:
     * removing them one by one would shift the list at each append.
     */
    private void truncate() {
        int surplus = items.size() - retainRecords;
        if (surplus > retainRecords / 4) {
            items.subList(0, surplus).clear();
            earliestOffset += surplus;
        }
    }
}

package org.bramleylatch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bramleylatch.edge.LogPage;

/** Is one append-only stream that keeps its latest records. */
final class LogStream {
    private final int retainRecords;
    private final List<LogPage.Item> items = new ArrayList<>();
    private final List<Consumer<LogStream>> waiters = new ArrayList<>();
    private long earliest;

    LogStream(int retainRecords) {
        this.retainRecords = retainRecords;
    }

    /** Appends the records and wakes the readers that wait; returns the first offset. */
    long append(List<String> records, long nowMillis) {
        long first = next();
        records.forEach(text -> items.add(new LogPage.Item(next(), nowMillis, text)));
        expire();
        List<Consumer<LogStream>> woken = List.copyOf(waiters);
        waiters.clear();
        woken.forEach(waiter -> waiter.accept(this));
        return first;
    }

    /** Returns the offset behind the last record. */
    long next() {
        return earliest + items.size();
    }

    /** Returns the oldest offset that is kept. */
    long earliest() {
        return earliest;
    }

    /** Returns a page from the given offset, which must be kept. */
    LogPage page(long from, int most) {
        int start = (int) (Math.max(from, earliest) - earliest);
        int end = Math.min(items.size(), start + most);
        List<LogPage.Item> found = start < end ? items.subList(start, end) : List.of();
        return new LogPage(earliest, next(), found);
    }

    /** Calls back once, after the next append. */
    void await(Consumer<LogStream> waiter) {
        waiters.add(waiter);
    }

    /** Forgets a reader that no longer waits. */
    void leave(Consumer<LogStream> waiter) {
        waiters.remove(waiter);
    }

    private void expire() {
        int surplus = items.size() - retainRecords;
        if (surplus > retainRecords / 4) {
            items.subList(0, surplus).clear();
            earliest += surplus;
        }
    }
}

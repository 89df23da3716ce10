package org.bramleylatch.fakes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.SequencedRecord;

/**
 * Simulates one append-only stream of the log in memory. Tests can make it unavailable and truncate
 * its oldest records.
 */
public final class FakeLog {
    private final VirtualTime time;
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<Runnable> readers = new ArrayList<>();
    private final List<Consumer<List<SequencedRecord>>> observers = new ArrayList<>();
    private long earliestOffset;
    private boolean unavailable;
    private long era;

    private FakeLog(VirtualTime time) {
        this.time = time;
    }

    /** Creates an empty stream whose records are stamped with the given time. */
    public static FakeLog of(VirtualTime time) {
        return new FakeLog(time);
    }

    /** Appends the records; returns false, and appends none, if the log is unavailable. */
    public boolean append(Incarnation writer, List<SequencedRecord> records) {
        if (unavailable) {
            return false;
        }
        records.forEach(record -> add(writer, record));
        observers.forEach(observer -> observer.accept(records));
        List.copyOf(readers).forEach(Runnable::run);
        return true;
    }

    /** Returns the records from the given offset on, or from the oldest retained one if later. */
    public List<LogEntry> readFrom(long offset) {
        int start = (int) Math.max(earliestOffset, offset);
        return List.copyOf(entries.subList(start, entries.size()));
    }

    /** Returns all records ever appended, truncated ones included, for use as an oracle. */
    public List<LogEntry> allEntries() {
        return List.copyOf(entries);
    }

    /** Returns the offset of the oldest retained record. */
    public long earliestOffset() {
        return earliestOffset;
    }

    /** Returns the offset that the next appended record will get. */
    public long endOffset() {
        return entries.size();
    }

    /** Truncates the records before the offset. */
    public void truncateBefore(long offset) {
        earliestOffset = Math.max(earliestOffset, Math.min(offset, endOffset()));
    }

    /** Counts how often the log came back from a copy. */
    public long era() {
        return era;
    }

    /** Comes back from a copy without the newest records, whose offsets are given out again. */
    public void loseNewest(int count) {
        int kept = (int) Math.max(earliestOffset, entries.size() - count);
        entries.subList(kept, entries.size()).clear();
        era++;
        List.copyOf(readers).forEach(Runnable::run);
    }

    /** Returns true during an outage. */
    public boolean isUnavailable() {
        return unavailable;
    }

    /** Starts or ends an outage and notifies the readers. */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
        List.copyOf(readers).forEach(Runnable::run);
    }

    /** Registers a reader, which is run after each append and each start or end of an outage. */
    public void addReader(Runnable reader) {
        readers.add(reader);
    }

    /** Registers an observer, which gets each appended batch before the readers run. */
    public void addObserver(Consumer<List<SequencedRecord>> observer) {
        observers.add(observer);
    }

    private void add(Incarnation writer, SequencedRecord record) {
        entries.add(
                new LogEntry(
                        endOffset(), time.nowMillis(), writer, record.sequence(), record.record()));
    }
}

package org.bramleylatch.fakes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.Numbered;

/** Is an append-only stream that can be told to be away, and that can forget old records. */
public final class FakeLog {
    private final VirtualTime time;
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<Runnable> readers = new ArrayList<>();
    private final List<Consumer<List<Numbered>>> observers = new ArrayList<>();
    private long earliest;
    private boolean away;

    private FakeLog(VirtualTime time) {
        this.time = time;
    }

    /** Returns an empty stream. */
    public static FakeLog of(VirtualTime time) {
        return new FakeLog(time);
    }

    /** Appends the records; returns false if the log is away. */
    public boolean append(Incarnation writer, List<Numbered> records) {
        if (away) {
            return false;
        }
        records.forEach(record -> add(writer, record));
        observers.forEach(observer -> observer.accept(records));
        List.copyOf(readers).forEach(Runnable::run);
        return true;
    }

    /** Returns the records from the given offset, which must be kept. */
    public List<LogEntry> from(long offset) {
        int start = (int) Math.max(earliest, offset);
        return List.copyOf(entries.subList(start, entries.size()));
    }

    /** Returns all records that were ever appended, for oracles. */
    public List<LogEntry> all() {
        return List.copyOf(entries);
    }

    /** Returns the oldest offset that is kept. */
    public long earliest() {
        return earliest;
    }

    /** Returns the offset behind the last record. */
    public long next() {
        return entries.size();
    }

    /** Forgets the records before the offset. */
    public void forgetBefore(long offset) {
        earliest = Math.max(earliest, Math.min(offset, next()));
    }

    /** Returns true while nothing is answered. */
    public boolean isAway() {
        return away;
    }

    /** Begins or ends an outage. */
    public void setAway(boolean isAway) {
        away = isAway;
        List.copyOf(readers).forEach(Runnable::run);
    }

    /** Calls the reader after each append and each change of an outage. */
    public void addReader(Runnable reader) {
        readers.add(reader);
    }

    /** Calls the observer with each batch that was appended. */
    public void addObserver(Consumer<List<Numbered>> observer) {
        observers.add(observer);
    }

    private void add(Incarnation writer, Numbered record) {
        entries.add(
                new LogEntry(next(), time.nowMillis(), writer, record.sequence(), record.record()));
    }
}

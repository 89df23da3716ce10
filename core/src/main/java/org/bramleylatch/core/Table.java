package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Holds the rows of one kind of entity by key. Rows are immutable; a change puts a new row in place
 * of the old one. Only the thread that runs the tick may use a table.
 *
 * @param <K> the key of a row
 * @param <R> the row, an immutable value
 */
public final class Table<K, R> {
    private final Map<K, R> rows = new HashMap<>();

    private Table() {}

    /** Returns a table without rows. */
    public static <K, R> Table<K, R> empty() {
        return new Table<>();
    }

    /** Returns the row with the given key, if there is one. */
    public Optional<R> find(K key) {
        return Optional.ofNullable(rows.get(key));
    }

    /** Returns true if a row has the given key. */
    public boolean has(K key) {
        return rows.containsKey(key);
    }

    /** Returns the row with the given key, adding the supplied one first if there is none. */
    public R findOrAdd(K key, Supplier<R> row) {
        return rows.computeIfAbsent(requireNonNull(key), k -> requireNonNull(row.get()));
    }

    /** Puts the row under the key, in place of any older one. */
    public void put(K key, R row) {
        rows.put(requireNonNull(key), requireNonNull(row));
    }

    /** Replaces the row with the given key by its successor; returns the successor, if any. */
    public Optional<R> update(K key, UnaryOperator<R> successor) {
        return Optional.ofNullable(
                rows.computeIfPresent(key, (k, row) -> requireNonNull(successor.apply(row))));
    }

    /** Removes the row with the given key and returns it, if there was one. */
    public Optional<R> remove(K key) {
        return Optional.ofNullable(rows.remove(key));
    }

    /** Removes every row that the condition holds for. */
    public void removeIf(Predicate<R> condition) {
        rows.values().removeIf(condition);
    }

    /** Returns the rows, in no particular order. The table must not change while it is read. */
    public Stream<R> rows() {
        return rows.values().stream();
    }

    /** Returns the keys, in no particular order. The table must not change while it is read. */
    public Stream<K> keys() {
        return rows.keySet().stream();
    }

    /** Returns a copy of the rows that the condition holds for; the table may change after. */
    public List<R> where(Predicate<R> condition) {
        List<R> found = new ArrayList<>();
        rows.values().forEach(row -> addIf(found, row, condition));
        return found;
    }

    /** Returns the number of rows. */
    public int size() {
        return rows.size();
    }

    private static <R> void addIf(List<R> found, R row, Predicate<R> condition) {
        if (condition.test(row)) {
            found.add(row);
        }
    }
}

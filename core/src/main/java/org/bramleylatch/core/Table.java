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
 * Holds the rows of one kind of entity by key. Rows are immutable; a change replaces the row. Not
 * thread-safe: only the thread that runs the tick may use a table.
 *
 * @param <K> the key type
 * @param <R> the row type, an immutable value
 */
public final class Table<K, R> {
    private final Map<K, R> rows = new HashMap<>();

    private Table() {}

    /** Creates a table without rows. */
    public static <K, R> Table<K, R> empty() {
        return new Table<>();
    }

    /** Returns the row with the given key; empty if there is none. */
    public Optional<R> find(K key) {
        return Optional.ofNullable(rows.get(key));
    }

    /** Returns true if there is a row with the given key. */
    public boolean has(K key) {
        return rows.containsKey(key);
    }

    /** Returns the row with the given key; if there is none, adds and returns the supplied one. */
    public R findOrAdd(K key, Supplier<R> row) {
        return rows.computeIfAbsent(requireNonNull(key), k -> requireNonNull(row.get()));
    }

    /** Adds the row under the key, or replaces the row that is there. */
    public void put(K key, R row) {
        rows.put(requireNonNull(key), requireNonNull(row));
    }

    /** Replaces the row with the given key by its changed copy and returns it; empty if none. */
    public Optional<R> update(K key, UnaryOperator<R> change) {
        return Optional.ofNullable(
                rows.computeIfPresent(key, (k, row) -> requireNonNull(change.apply(row))));
    }

    /** Removes the row with the given key and returns it; empty if there was none. */
    public Optional<R> remove(K key) {
        return Optional.ofNullable(rows.remove(key));
    }

    /** Removes every row that satisfies the condition. */
    public void removeIf(Predicate<R> condition) {
        rows.values().removeIf(condition);
    }

    /** Returns the rows in no particular order. The table must not change while it is streamed. */
    public Stream<R> rows() {
        return rows.values().stream();
    }

    /** Returns the keys in no particular order. The table must not change while it is streamed. */
    public Stream<K> keys() {
        return rows.keySet().stream();
    }

    /** Returns the rows that satisfy the condition, as a list that later changes do not affect. */
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

package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Orders keys by their deadline. A key has at most one deadline. All times are in milliseconds
 * since the epoch.
 *
 * @param <K> names what the deadline is for, such as a row or a timer
 */
public final class Deadlines<K> {
    private final TreeMap<Long, List<K>> keysByMillis = new TreeMap<>();
    private final Map<K, Long> millisByKey = new HashMap<>();

    private Deadlines() {}

    /** Creates a collection without deadlines. */
    public static <K> Deadlines<K> empty() {
        return new Deadlines<>();
    }

    /** Sets the deadline of the key and replaces any earlier one. */
    public void set(K key, long dueMillis) {
        clear(key);
        millisByKey.put(key, dueMillis);
        keysByMillis.computeIfAbsent(dueMillis, millis -> new ArrayList<>(1)).add(key);
    }

    /** Removes the deadline of the key, if it has one. */
    public void clear(K key) {
        Long dueMillis = millisByKey.remove(key);
        if (dueMillis != null) {
            keysByMillis.computeIfPresent(dueMillis, (millis, keys) -> withoutKey(keys, key));
        }
    }

    /** Returns true if the key has a deadline. */
    public boolean has(K key) {
        return millisByKey.containsKey(key);
    }

    /** Removes and returns the keys whose deadline is not after the given time, earliest first. */
    public List<K> takeDue(long nowMillis) {
        List<K> due = new ArrayList<>();
        while (!keysByMillis.isEmpty() && keysByMillis.firstKey() <= nowMillis) {
            due.addAll(keysByMillis.pollFirstEntry().getValue());
        }
        due.forEach(millisByKey::remove);
        return due;
    }

    /** Returns the earliest deadline; empty if no key has one. */
    public OptionalLong earliestMillis() {
        return keysByMillis.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(keysByMillis.firstKey());
    }

    /** Returns null for an empty list, so that the map drops the entry. */
    private static <K> List<K> withoutKey(List<K> keys, K key) {
        keys.remove(key);
        return keys.isEmpty() ? null : keys;
    }
}

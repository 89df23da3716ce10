package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Orders keys by the time at which they are due. A key has at most one deadline.
 *
 * @param <K> the key of the row that the deadline belongs to
 */
public final class Deadlines<K> {
    private final TreeMap<Long, List<K>> keysByMillis = new TreeMap<>();
    private final Map<K, Long> millisByKey = new HashMap<>();

    private Deadlines() {}

    /** Returns an order without deadlines. */
    public static <K> Deadlines<K> empty() {
        return new Deadlines<>();
    }

    /** Sets the deadline of the key, in milliseconds, in place of any older one. */
    public void set(K key, long dueMillis) {
        clear(key);
        millisByKey.put(key, dueMillis);
        keysByMillis.computeIfAbsent(dueMillis, millis -> new ArrayList<>(1)).add(key);
    }

    /** Removes the deadline of the key, if it has one. */
    public void clear(K key) {
        Long millis = millisByKey.remove(key);
        if (millis != null) {
            keysByMillis.computeIfPresent(millis, (at, keys) -> without(keys, key));
        }
    }

    /** Returns true if the key has a deadline. */
    public boolean has(K key) {
        return millisByKey.containsKey(key);
    }

    /** Removes and returns the keys that are due at the given time, earliest first. */
    public List<K> takeDue(long nowMillis) {
        List<K> due = new ArrayList<>();
        while (!keysByMillis.isEmpty() && keysByMillis.firstKey() <= nowMillis) {
            due.addAll(keysByMillis.pollFirstEntry().getValue());
        }
        due.forEach(millisByKey::remove);
        return due;
    }

    /** Returns the earliest deadline in milliseconds, if there is one. */
    public OptionalLong earliestMillis() {
        return keysByMillis.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(keysByMillis.firstKey());
    }

    private static <K> List<K> without(List<K> keys, K key) {
        keys.remove(key);
        return keys.isEmpty() ? null : keys;
    }
}

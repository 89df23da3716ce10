package org.bramleylatch.core;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Remembers settled keys that were issued within the window before the time of the log. A key
 * issued earlier is expired: whether it was settled is no longer known.
 */
public final class KeyWindow {
    /** The length of the window, in milliseconds. */
    public static final long SPAN_MILLIS = 2 * 60 * 60 * 1000L;

    private static final long BUCKET_MILLIS = 60 * 1000L;

    private final TreeMap<Long, Set<RequestKey>> keysByBucket = new TreeMap<>();

    private KeyWindow() {}

    /** Returns a window without keys. */
    public static KeyWindow empty() {
        return new KeyWindow();
    }

    /**
     * Returns true if the key was issued before the window that ends at the given time of the log.
     */
    public static boolean isExpired(RequestKey key, long logMillis) {
        return bucket(key) < oldestBucket(logMillis);
    }

    /** Adds the key; returns false if it was present. */
    public boolean add(RequestKey key) {
        return keysByBucket.computeIfAbsent(bucket(key), absent -> new HashSet<>()).add(key);
    }

    /** Returns true if the key is remembered. */
    public boolean has(RequestKey key) {
        return keysByBucket.getOrDefault(bucket(key), Set.of()).contains(key);
    }

    /** Removes the keys that are expired at the given time of the log, in milliseconds. */
    public void expire(long logMillis) {
        keysByBucket.headMap(oldestBucket(logMillis)).clear();
    }

    /** Returns the remembered keys, ordered by the minute in which they were issued. */
    public Stream<RequestKey> keys() {
        return keysByBucket.values().stream().flatMap(Set::stream);
    }

    private static long bucket(RequestKey key) {
        return key.issuedMillis() / BUCKET_MILLIS;
    }

    private static long oldestBucket(long logMillis) {
        return (logMillis - SPAN_MILLIS) / BUCKET_MILLIS;
    }
}

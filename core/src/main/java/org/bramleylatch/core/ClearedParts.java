package org.bramleylatch.core;

/**
 * Counts the completed answers by part of the prompt over the last five to ten seconds. The number
 * of parts is bounded, since callers may send new ones with each request.
 */
final class ClearedParts {
    private static final long BUCKET_MILLIS = 5_000;
    private static final int MAX_PARTS_PER_BUCKET = 10_000;

    private Table<PromptPartId, Integer> current = Table.empty();
    private Table<PromptPartId, Integer> previous = Table.empty();
    private long currentBucket;

    /** Counts a completed answer; ignored for a new part while the bucket is full. */
    void add(PromptPartId part, long nowMillis) {
        rotate(nowMillis);
        if (current.size() < MAX_PARTS_PER_BUCKET || current.has(part)) {
            current.put(part, current.find(part).orElse(0) + 1);
        }
    }

    /** Returns the number of answers counted for the part. */
    int count(PromptPartId part, long nowMillis) {
        rotate(nowMillis);
        return current.find(part).orElse(0) + previous.find(part).orElse(0);
    }

    /** Returns the number of parts that are counted. */
    int size() {
        return current.size() + previous.size();
    }

    private void rotate(long nowMillis) {
        long bucket = nowMillis / BUCKET_MILLIS;
        if (bucket != currentBucket) {
            previous = bucket == currentBucket + 1 ? current : Table.empty();
            current = Table.empty();
            currentBucket = bucket;
        }
    }
}

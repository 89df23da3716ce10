package org.bramleylatch.gateway;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the latest value of each key to the store, and retries until it is stored. One write is
 * under way at a time, so that an older value never replaces a newer one.
 */
final class LatestValueWriter<V> {
    private static final Logger LOG = LoggerFactory.getLogger(LatestValueWriter.class);
    private static final long MIN_INTERVAL_MILLIS = 200;
    private static final long RETRY_MILLIS = 1_000;

    private final Vertx vertx;
    private final BiFunction<String, V, CompletableFuture<Long>> write;
    private final Map<String, V> unwritten = new LinkedHashMap<>();
    private boolean writing;

    LatestValueWriter(Vertx vertx, BiFunction<String, V, CompletableFuture<Long>> write) {
        this.vertx = vertx;
        this.write = write;
    }

    /** Writes the value as soon as the writes before it are done. */
    void put(String key, V value) {
        unwritten.put(key, value);
        writeNext();
    }

    private void writeNext() {
        if (writing || unwritten.isEmpty()) {
            return;
        }
        writing = true;
        String key = unwritten.keySet().iterator().next();
        V value = unwritten.remove(key);
        write.apply(key, value).whenComplete((offset, failure) -> endWrite(key, value, failure));
    }

    private void endWrite(String key, V value, Throwable failure) {
        if (failure != null) {
            LOG.info(
                    "storing {} failed, next attempt in {} ms: {}",
                    key,
                    RETRY_MILLIS,
                    failure.getMessage());
            unwritten.putIfAbsent(key, value);
        }
        vertx.setTimer(
                failure == null ? MIN_INTERVAL_MILLIS : RETRY_MILLIS,
                ignored -> {
                    writing = false;
                    writeNext();
                });
    }
}

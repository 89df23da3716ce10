package org.bramleylatch.edge;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Accesses the append-only log of the platform, independently of the platform's protocol. */
public interface LogService {

    /**
     * Appends records to a stream, in order, either all or none.
     *
     * @return the offset of the first record; fails with LOG_UNAVAILABLE if it is unknown whether
     *     the records were appended
     */
    CompletableFuture<Long> append(String stream, List<String> records);

    /**
     * Returns the end offset of a stream, which the next appended record gets. The default is 0,
     * for platforms that do not report it: readers then start at the first record.
     */
    default CompletableFuture<Long> endOffset(String stream) {
        return CompletableFuture.completedFuture(0L);
    }

    /**
     * Reads records of a stream; waits for one if there is none yet.
     *
     * @param from the offset of the first record; -1 for the oldest record that the platform keeps
     * @param maxRecords the maximum number of records
     * @param waitMillis how long to wait for a record; 0 returns at once
     * @return the page, without records if the wait ended first; fails with LOG_POSITION_EXPIRED if
     *     the platform no longer keeps the offset, or with LOG_UNAVAILABLE
     */
    CompletableFuture<LogPage> read(String stream, long from, int maxRecords, long waitMillis);
}

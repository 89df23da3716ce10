package org.bramleylatch.edge;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Is the platform's append-only log as the ledger uses it, whatever the platform's protocol. */
public interface LogService {

    /**
     * Appends records to a stream, all or none.
     *
     * @return the offset of the first record; fails with LOG_UNAVAILABLE if it is not known whether
     *     they were appended
     */
    CompletableFuture<Long> append(String stream, List<String> records);

    /**
     * Returns the offset behind the newest record of a stream; 0 where the platform can't tell, so
     * that reading begins at the first record.
     */
    default CompletableFuture<Long> end(String stream) {
        return CompletableFuture.completedFuture(0L);
    }

    /**
     * Reads records of a stream, waiting for one if there is none.
     *
     * @param from the offset of the first record; -1 for the oldest that is kept
     * @param most the most records
     * @param waitMillis how long to wait for a record
     * @return the page; fails with LOG_POSITION_EXPIRED or LOG_UNAVAILABLE
     */
    CompletableFuture<LogPage> read(String stream, long from, int most, long waitMillis);
}

package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a record that can't be read from ending or blocking the reader of its stream. Such a record
 * is logged with its key and offset, and skipped. Any process may write to a stream, so each record
 * is decoded and applied under a guard.
 */
public final class RecordGuard {
    private static final Logger LOG = LoggerFactory.getLogger(RecordGuard.class);

    /** Holds the reason, but not the whole record, which some messages repeat. */
    private static final int MAX_DETAIL_LENGTH = 200;

    private final String stream;

    private RecordGuard(String stream) {
        this.stream = requireNonNull(stream);
    }

    /** Returns a guard for the records of a stream, which it names in the log. */
    public static RecordGuard of(String stream) {
        return new RecordGuard(stream);
    }

    /** Decodes a record; empty if that fails. */
    public <T> Optional<T> decode(String key, long offset, Supplier<T> decoder) {
        try {
            return Optional.of(decoder.get());
        } catch (RuntimeException | StackOverflowError unreadable) {
            logSkipped(key, offset, unreadable);
            return Optional.empty();
        }
    }

    /** Applies a record; what the action did before it failed stays. */
    public void apply(String key, long offset, Runnable action) {
        decode(
                key,
                offset,
                () -> {
                    action.run();
                    return key;
                });
    }

    private void logSkipped(String key, long offset, Throwable unreadable) {
        String detail = unreadable.toString();
        LOG.warn(
                "{}: record {} at offset {} skipped: {}",
                stream,
                key,
                offset,
                detail.substring(0, Math.min(detail.length(), MAX_DETAIL_LENGTH)));
    }
}

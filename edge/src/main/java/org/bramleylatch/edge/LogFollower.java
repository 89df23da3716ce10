package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads a stream of the platform until cancelled. A failed read is retried with exponential
 * back-off. Each failure is reported with its code, so that a reader whose position the platform no
 * longer keeps (LOG_POSITION_EXPIRED) reloads a snapshot instead of skipping records.
 *
 * @param <P> the type of a page, the result of one read
 */
public final class LogFollower<P> {
    private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);
    private static final Duration FIRST_RETRY_PAUSE = Duration.ofMillis(50);

    private final String stream;
    private final LongFunction<CompletableFuture<P>> readPage;
    private final ReadPace pace;
    private long waitMillis;
    private int failuresInRow;
    private boolean handled = true;

    /**
     * Creates a follower that reads nothing yet.
     *
     * @param stream the name of the stream in the log
     * @param readPage reads the next page; its argument is how many milliseconds to wait for new
     *     records
     * @param pace the waits and pauses of the reads
     */
    public LogFollower(String stream, LongFunction<CompletableFuture<P>> readPage, ReadPace pace) {
        this.stream = requireNonNull(stream);
        this.readPage = requireNonNull(readPage);
        this.pace = requireNonNull(pace);
    }

    /**
     * Starts reading.
     *
     * @param onPage receives each page before the next read begins; if it fails, that is logged,
     *     and reading goes on with the next page
     * @param onFailure receives the code of each failed read
     * @return a handle that stops the reading when cancelled
     */
    public Cancellable follow(Consumer<P> onPage, Consumer<ResultCode> onFailure) {
        Uni<P> read =
                Uni.createFrom()
                        .completionStage(() -> readPage.apply(waitMillis))
                        .onItem()
                        .invoke(page -> noteSuccess())
                        .onItem()
                        .invoke(page -> hand(page, onPage))
                        .onItem()
                        .call(page -> pause())
                        .onFailure()
                        .invoke(failure -> reportFailure(failure, onFailure))
                        .onFailure()
                        .retry()
                        .withBackOff(FIRST_RETRY_PAUSE, pace.maxRetryPause())
                        .indefinitely();
        return Multi.createBy()
                .repeating()
                .uni(() -> read)
                .indefinitely()
                .subscribe()
                .with(p -> {});
    }

    private void noteSuccess() {
        waitMillis = pace.waitMillis();
        if (failuresInRow > 0) {
            LOG.info("{}: read again after {} failed reads", stream, failuresInRow);
            failuresInRow = 0;
        }
    }

    /** Hands a page over; its consumer's failure says nothing about the platform. */
    private void hand(P page, Consumer<P> onPage) {
        handled = false;
        try {
            onPage.accept(page);
            handled = true;
        } catch (RuntimeException | StackOverflowError failure) {
            LOG.error("page could not be handled, reading goes on behind it", failure);
        }
    }

    /** Waits before the next read, as a consumer that fails may not have moved its position. */
    private Uni<Void> pause() {
        long pauseMillis =
                handled ? pace.pauseMillis().getAsLong() : pace.maxRetryPause().toMillis();
        Uni<Void> completed = Uni.createFrom().voidItem();
        return pauseMillis == 0
                ? completed
                : completed.onItem().delayIt().by(Duration.ofMillis(pauseMillis));
    }

    /**
     * Makes the next read return at once, so that a recovered log is noticed without a long poll.
     */
    private void reportFailure(Throwable failure, Consumer<ResultCode> onFailure) {
        if (failuresInRow == 0) {
            LOG.info(
                    "{}: a read with a wait of {} ms failed: {}",
                    stream,
                    waitMillis,
                    failure.toString());
        }
        failuresInRow++;
        waitMillis = 0;
        onFailure.accept(ResultException.codeOf(failure));
    }
}

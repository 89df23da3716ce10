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

/**
 * Reads a stream of the platform until cancelled. A failed read is retried with exponential
 * back-off. Each failure is reported with its code, so that a reader whose position the platform no
 * longer keeps (LOG_POSITION_EXPIRED) reloads a snapshot instead of skipping records.
 *
 * @param <P> the type of a page, the result of one read
 */
public final class LogFollower<P> {
    private static final Duration FIRST_RETRY_PAUSE = Duration.ofMillis(50);

    private final LongFunction<CompletableFuture<P>> readPage;
    private final ReadPace pace;
    private long waitMillis;

    /**
     * Creates a follower that reads nothing yet.
     *
     * @param readPage reads the next page; its argument is how many milliseconds to wait for new
     *     records
     * @param pace the waits and pauses of the reads
     */
    public LogFollower(LongFunction<CompletableFuture<P>> readPage, ReadPace pace) {
        this.readPage = requireNonNull(readPage);
        this.pace = requireNonNull(pace);
    }

    /**
     * Starts reading.
     *
     * @param onPage receives each page before the next read begins
     * @param onFailure receives the code of each failed read
     * @return a handle that stops the reading when cancelled
     */
    public Cancellable follow(Consumer<P> onPage, Consumer<ResultCode> onFailure) {
        Uni<P> read =
                Uni.createFrom()
                        .completionStage(() -> readPage.apply(waitMillis))
                        .onItem()
                        .invoke(page -> waitMillis = pace.waitMillis())
                        .onItem()
                        .invoke(onPage)
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

    private Uni<Void> pause() {
        long pauseMillis = pace.pauseMillis().getAsLong();
        Uni<Void> completed = Uni.createFrom().voidItem();
        return pauseMillis == 0
                ? completed
                : completed.onItem().delayIt().by(Duration.ofMillis(pauseMillis));
    }

    /**
     * Makes the next read return at once, so that a recovered log is noticed without a long poll.
     */
    private void reportFailure(Throwable failure, Consumer<ResultCode> onFailure) {
        waitMillis = 0;
        onFailure.accept(ResultException.codeOf(failure));
    }
}

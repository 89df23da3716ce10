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
 * Reads a stream of the platform without end. A failed read is repeated with growing pauses; a
 * position that the platform no longer keeps is told apart, so that the reader reloads and skips
 * nothing.
 *
 * @param <P> what one read returns
 */
public final class LogFollower<P> {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);

    private final LongFunction<CompletableFuture<P>> reads;
    private final Pace pace;
    private long waitMillis;

    /**
     * Makes a follower; nothing is read yet.
     *
     * @param reads reads the next page, waiting so many milliseconds for news
     * @param pace how often to read
     */
    public LogFollower(LongFunction<CompletableFuture<P>> reads, Pace pace) {
        this.reads = requireNonNull(reads);
        this.pace = requireNonNull(pace);
    }

    /**
     * Reads on and on.
     *
     * @param pages takes what was read; called before the next read begins
     * @param failures takes the code of each failed read
     * @return stops the reading
     */
    public Cancellable follow(Consumer<P> pages, Consumer<ResultCode> failures) {
        Uni<P> read =
                Uni.createFrom()
                        .completionStage(() -> reads.apply(waitMillis))
                        .onItem()
                        .invoke(page -> waitMillis = pace.waitMillis())
                        .onItem()
                        .invoke(pages)
                        .onItem()
                        .call(page -> pause())
                        .onFailure()
                        .invoke(failure -> fail(failure, failures))
                        .onFailure()
                        .retry()
                        .withBackOff(FIRST_PAUSE, pace.longestPause())
                        .indefinitely();
        return Multi.createBy()
                .repeating()
                .uni(() -> read)
                .indefinitely()
                .subscribe()
                .with(p -> {});
    }

    private Uni<Void> pause() {
        long millis = pace.pauseMillis().getAsLong();
        Uni<Void> nothing = Uni.createFrom().voidItem();
        return millis == 0 ? nothing : nothing.onItem().delayIt().by(Duration.ofMillis(millis));
    }

    /** Lets the next read answer at once, so that the reader soon knows that the log is back. */
    private void fail(Throwable failure, Consumer<ResultCode> failures) {
        waitMillis = 0;
        failures.accept(ResultException.codeOf(failure));
    }
}

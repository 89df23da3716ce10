package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;

/**
 * Reads a stream of the log without end. A failed read is repeated with growing pauses; a position
 * that the platform no longer keeps is told apart, so that the reader reloads and skips nothing.
 */
public final class LogFollower {
    private static final int MOST_RECORDS = 5_000;
    private static final long WAIT_MILLIS = 10_000;
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    private final PlatformClient platform;
    private final String stream;
    private long waitMillis;

    /** Makes a follower; nothing is read yet. */
    public LogFollower(PlatformClient platform, String stream) {
        this.platform = requireNonNull(platform);
        this.stream = requireNonNull(stream);
    }

    /**
     * Reads on and on.
     *
     * @param nextOffset tells where the next read begins
     * @param pages takes what was read; called before the next read begins
     * @param failures takes the code of each failed read
     * @return stops the reading
     */
    public Cancellable follow(
            LongSupplier nextOffset, Consumer<LogPage> pages, Consumer<ResultCode> failures) {
        Uni<LogPage> read =
                Uni.createFrom()
                        .completionStage(
                                () ->
                                        platform.read(
                                                stream,
                                                nextOffset.getAsLong(),
                                                MOST_RECORDS,
                                                waitMillis))
                        .onItem()
                        .invoke(page -> waitMillis = WAIT_MILLIS)
                        .onItem()
                        .invoke(pages)
                        .onFailure()
                        .invoke(failure -> fail(failure, failures))
                        .onFailure()
                        .retry()
                        .withBackOff(FIRST_PAUSE, LONGEST_PAUSE)
                        .indefinitely();
        return Multi.createBy()
                .repeating()
                .uni(() -> read)
                .indefinitely()
                .subscribe()
                .with(p -> {});
    }

    /** Lets the next read answer at once, so that the reader soon knows that the log is back. */
    private void fail(Throwable failure, Consumer<ResultCode> failures) {
        waitMillis = 0;
        failures.accept(ResultException.codeOf(failure));
    }
}

package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.ResultCode;
import org.bramleylatch.core.ResultException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogFollowerTest {
    private static final ReadPace PACE = new ReadPace(0, () -> 0, Duration.ofMillis(100));

    private final Queue<CompletableFuture<String>> reads = new ConcurrentLinkedQueue<>();
    private final BlockingQueue<String> pages = new LinkedBlockingQueue<>();
    private final BlockingQueue<ResultCode> failures = new LinkedBlockingQueue<>();
    private Cancellable following = () -> {};

    @AfterEach
    void stop() {
        following.cancel();
    }

    /** Guards against a platform that counts as unreachable since a page can't be handled. */
    @Test
    void aPageWhoseConsumerFailsIsHandedOverOnceAndNoFailureOfThePlatform() throws Exception {
        follow(List.of("first", "broken", "third"));
        assertThat(pages.poll(20, TimeUnit.SECONDS)).isEqualTo("first");
        assertThat(pages.poll(20, TimeUnit.SECONDS)).isEqualTo("broken");
        assertThat(pages.poll(20, TimeUnit.SECONDS)).isEqualTo("third");
        assertThat(failures).isEmpty();
    }

    @Test
    void aReadThatFailsIsReportedAndRetried() throws Exception {
        reads.add(ResultException.failedFuture(ResultCode.LOG_UNAVAILABLE, "down"));
        follow(List.of("first"));
        assertThat(pages.poll(20, TimeUnit.SECONDS)).isEqualTo("first");
        assertThat(failures.poll(20, TimeUnit.SECONDS)).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    }

    private void follow(List<String> pageTexts) {
        pageTexts.forEach(text -> reads.add(CompletableFuture.completedFuture(text)));
        following =
                new LogFollower<String>("test stream", waitMillis -> nextRead(), PACE)
                        .follow(this::receive, failures::add);
    }

    /** Returns the next page, or a read that stays open after the last one. */
    private CompletableFuture<String> nextRead() {
        CompletableFuture<String> next = reads.poll();
        return next == null ? new CompletableFuture<>() : next;
    }

    private void receive(String page) {
        pages.add(page);
        if (page.equals("broken")) {
            throw new IllegalStateException(page);
        }
    }
}

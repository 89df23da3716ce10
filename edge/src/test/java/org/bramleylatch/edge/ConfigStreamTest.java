package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.wire.ConfigRecord;
import org.bramleylatch.wire.ConfigRecord.SectionProposed;
import org.bramleylatch.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a router that reports that it is ready with a configuration that has a newer
 * revision already, and refuses that revision's members as unauthenticated.
 */
class ConfigStreamTest {
    private static final long AWAIT_SECONDS = 10;

    private final BlockingQueue<Read> reads = new LinkedBlockingQueue<>();
    private final ConfigStream stream = new ConfigStream(new HeldLog());
    private Cancellable subscription;

    @BeforeEach
    void start() {
        subscription = stream.follow(configuration -> {}, result -> {});
    }

    @AfterEach
    void stop() {
        subscription.cancel();
    }

    @Test
    void theFirstRevisionIsNotTheEndWhileTheNextOneIsBeingRead() throws Exception {
        nextRead().answer("routes");
        Read second = nextRead();
        assertThat(second.waitMillis).isZero();
        assertThat(stream.isCaughtUp()).isFalse();
        second.answer("members");
        Read third = nextRead();
        assertThat(stream.isCaughtUp()).isFalse();
        third.answer();
        assertThat(nextRead().waitMillis).isPositive();
        assertThat(stream.isCaughtUp()).isTrue();
    }

    @Test
    void anEmptyStreamIsWaitedForAndIsNotTheEnd() throws Exception {
        nextRead().answer();
        assertThat(nextRead().waitMillis).isPositive();
        assertThat(stream.isCaughtUp()).isFalse();
    }

    @Test
    void aStreamThatWasReadToItsEndStaysSoAtTheNextRevision() throws Exception {
        nextRead().answer("routes");
        nextRead().answer();
        nextRead().answer("members");
        assertThat(nextRead().waitMillis).isPositive();
        assertThat(stream.isCaughtUp()).isTrue();
    }

    private Read nextRead() throws InterruptedException {
        Read read = reads.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(read).isNotNull();
        return read;
    }

    private static LogPage.Item proposal(long offset, String section) {
        ConfigRecord record =
                new SectionProposed(
                        section,
                        -1,
                        "operators",
                        RequestKey.of(offset, offset),
                        Json.readTree("[]"));
        return new LogPage.Item(offset, 0, Json.write(record));
    }

    /** Holds each read until the test answers it. */
    private final class HeldLog implements LogService {

        @Override
        public CompletableFuture<Long> append(String name, List<String> records) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<LogPage> read(
                String name, long from, int maxRecords, long waitMillis) {
            Read read = new Read(Math.max(0, from), waitMillis, new CompletableFuture<>());
            reads.add(read);
            return read.page;
        }
    }

    private record Read(long from, long waitMillis, CompletableFuture<LogPage> page) {

        void answer(String... sections) {
            List<LogPage.Item> items =
                    Stream.of(sections).map(section -> proposal(from, section)).toList();
            page.complete(new LogPage(0, from + items.size(), items));
        }
    }
}

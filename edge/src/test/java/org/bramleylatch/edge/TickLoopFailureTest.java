package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.Mailbox;
import org.bramleylatch.core.Schedule;
import org.bramleylatch.core.TickSystem;
import org.bramleylatch.core.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that stay without an answer because something else in a tick failed. */
class TickLoopFailureTest {
    private static final long AWAIT_SECONDS = 5;

    private final Vertx vertx = Vertx.vertx();
    private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        vertx.close();
    }

    /** Guards against a tick whose first failure drops the outputs of the systems before it. */
    @Test
    void aSystemThatThrowsKeepsNoOtherSystemAndNoOutputFromRunning() throws Exception {
        loop(this::copyInbox, (world, now) -> fail(), (world, now) -> world.outbox().add("after"))
                .offer("message");
        assertThat(nextHandled()).isEqualTo("message");
        assertThat(nextHandled()).isEqualTo("after");
    }

    /** Guards against deadlines that pass unnoticed because a failed tick sets no timer. */
    @Test
    void aSystemThatThrowsKeepsNoTimerFromRunning() throws Exception {
        loop(this::copyInbox, (world, now) -> fail(), this::reportDue).offer("message");
        assertThat(nextHandled()).isEqualTo("message");
        assertThat(nextHandled()).isEqualTo("due");
    }

    /** Guards against outputs that are dropped with an error, such as an overflow of the stack. */
    @Test
    void anErrorKeepsNoOutputFromRunning() throws Exception {
        loop(this::copyInbox, (world, now) -> overflow()).offer("message");
        assertThat(nextHandled()).isEqualTo("message");
    }

    /** Guards against a request that waits for an output that was dropped. */
    @Test
    void anOutputThatCannotBeHandledGoesBackToTheWorld() throws Exception {
        loop(this::copyInbox).offer("broken");
        assertThat(nextHandled()).isEqualTo("failed broken");
    }

    private void handle(String message) {
        if (message.equals("broken")) {
            throw new IllegalStateException("broken output");
        }
        handled.add(message);
    }

    @SafeVarargs
    private TickLoop<String, String, DueWorld> loop(TickSystem<DueWorld>... systems) {
        DueWorld world = new DueWorld(Mailbox.empty(), Mailbox.empty(), nowMillis() + 50);
        return new TickLoop<>(
                vertx,
                vertx.getOrCreateContext(),
                InstantSource.system(),
                world,
                Schedule.of(FailureLog.handler(), systems),
                this::handle,
                (message, detail) -> Optional.of("failed " + message));
    }

    private String nextHandled() throws InterruptedException {
        return handled.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void copyInbox(DueWorld world, long nowMillis) {
        world.inbox().take(Integer.MAX_VALUE).forEach(world.outbox()::add);
    }

    private void reportDue(DueWorld world, long nowMillis) {
        if (nowMillis >= world.dueMillis()) {
            world.outbox().add("due");
        }
    }

    private static void fail() {
        throw new IllegalStateException("broken system");
    }

    private static void overflow() {
        throw new StackOverflowError("broken system");
    }

    private static long nowMillis() {
        return InstantSource.system().millis();
    }

    private record DueWorld(Mailbox<String> inbox, Mailbox<String> outbox, long dueMillis)
            implements World<String, String> {

        @Override
        public OptionalLong nextDeadlineMillis() {
            return nowMillis() < dueMillis ? OptionalLong.of(dueMillis) : OptionalLong.empty();
        }
    }
}

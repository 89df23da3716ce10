package org.bramleylatch.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bramleylatch.core.FailureHandler;
import org.bramleylatch.core.Mailbox;
import org.bramleylatch.core.Schedule;
import org.bramleylatch.core.World;
import org.junit.jupiter.api.Test;

class TickLoopTest {

    @Test
    void aFailingOutputDoesNotBlockTheOutputsThatFollow() throws Exception {
        Vertx vertx = Vertx.vertx();
        CompletableFuture<String> handled = new CompletableFuture<>();
        TickLoop<String, String, EchoWorld> loop =
                new TickLoop<>(
                        vertx,
                        vertx.getOrCreateContext(),
                        InstantSource.system(),
                        new EchoWorld(Mailbox.empty(), Mailbox.empty()),
                        Schedule.of(
                                FailureHandler.rethrowing(),
                                (world, nowMillis) -> world.copyInboxToOutbox()),
                        message -> failOnBroken(message, handled),
                        (message, detail) -> Optional.empty());
        loop.offer("broken");
        loop.offer("whole");
        assertThat(handled.get(20, TimeUnit.SECONDS)).isEqualTo("whole");
        vertx.close();
    }

    private static void failOnBroken(String message, CompletableFuture<String> handled) {
        if (message.equals("broken")) {
            throw new IllegalStateException(message);
        }
        handled.complete(message);
    }

    private record EchoWorld(Mailbox<String> inbox, Mailbox<String> outbox)
            implements World<String, String> {

        @Override
        public OptionalLong nextDeadlineMillis() {
            return OptionalLong.empty();
        }

        void copyInboxToOutbox() {
            inbox.take(Integer.MAX_VALUE).forEach(outbox::add);
        }
    }
}

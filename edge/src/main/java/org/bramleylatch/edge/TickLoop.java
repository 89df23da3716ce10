package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bramleylatch.core.Schedule;
import org.bramleylatch.core.World;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a world's schedule when a message has come in or a deadline has passed, on one event loop.
 * There is one timer, for the earliest deadline; nothing polls.
 *
 * @param <I> the messages into the world
 * @param <O> the messages out of it
 * @param <W> the world
 */
public final class TickLoop<I, O, W extends World<I, O>> {
    private static final Logger LOG = LoggerFactory.getLogger(TickLoop.class);
    private static final int MOST_OUT_PER_TURN = 10_000;
    private static final long NO_TIMER = -1;

    private final Vertx vertx;
    private final Context context;
    private final InstantSource clock;
    private final W world;
    private final Schedule<W> schedule;
    private final Consumer<O> carrier;
    private boolean tickDue;
    private long timer = NO_TIMER;
    private long timerMillis = Long.MAX_VALUE;

    /**
     * Makes a loop that is not running yet.
     *
     * @param carrier carries messages out; it is called on the loop's context
     */
    public TickLoop(
            Vertx vertx,
            Context context,
            InstantSource clock,
            W world,
            Schedule<W> schedule,
            Consumer<O> carrier) {
        this.vertx = requireNonNull(vertx);
        this.context = requireNonNull(context);
        this.clock = requireNonNull(clock);
        this.world = requireNonNull(world);
        this.schedule = requireNonNull(schedule);
        this.carrier = requireNonNull(carrier);
    }

    /** Puts a message into the inbox and makes a tick due; may be called from any thread. */
    public void offer(I message) {
        if (Vertx.currentContext() == context) {
            add(message);
        } else {
            context.runOnContext(ignored -> add(message));
        }
    }

    /** Returns the world; only the loop's context may use it. */
    public W world() {
        return world;
    }

    private void add(I message) {
        world.inbox().add(message);
        if (!tickDue) {
            tickDue = true;
            context.runOnContext(ignored -> tick());
        }
    }

    private void tick() {
        tickDue = false;
        schedule.tick(world, clock.millis());
        world.outbox().take(MOST_OUT_PER_TURN).forEach(this::carry);
        if (!world.inbox().isEmpty() || !world.outbox().isEmpty()) {
            tickDue = true;
            context.runOnContext(ignored -> tick());
        }
        armTimer();
    }

    /** Carries a message; a fault of one carrier must not keep back the messages behind it. */
    private void carry(O message) {
        try {
            carrier.accept(message);
        } catch (RuntimeException fault) {
            LOG.error("message not carried: {}", message, fault);
        }
    }

    private void armTimer() {
        OptionalLong due = world.nextDeadlineMillis();
        if (due.isPresent() && due.getAsLong() != timerMillis) {
            cancelTimer();
            timerMillis = due.getAsLong();
            long delayMillis = Math.max(1, timerMillis - clock.millis());
            timer = vertx.setTimer(delayMillis, ignored -> onTimer());
        } else if (due.isEmpty()) {
            cancelTimer();
        }
    }

    private void onTimer() {
        timer = NO_TIMER;
        timerMillis = Long.MAX_VALUE;
        if (!tickDue) {
            tick();
        }
    }

    private void cancelTimer() {
        if (timer != NO_TIMER) {
            vertx.cancelTimer(timer);
        }
        timer = NO_TIMER;
        timerMillis = Long.MAX_VALUE;
    }
}

package org.bramleylatch.edge;

import static java.util.Objects.requireNonNull;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.bramleylatch.core.Schedule;
import org.bramleylatch.core.World;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the schedule of a world on one event loop, whenever a message arrives or a deadline passes.
 * A single timer is set to the earliest deadline; nothing polls.
 *
 * @param <I> the type of the messages into the world
 * @param <O> the type of the messages out of it
 * @param <W> the type of the world
 */
public final class TickLoop<I, O, W extends World<I, O>> {
    private static final Logger LOG = LoggerFactory.getLogger(TickLoop.class);
    private static final int MAX_OUTPUTS_PER_TICK = 10_000;
    private static final long NO_TIMER = -1;

    private final Vertx vertx;
    private final Context context;
    private final InstantSource clock;
    private final W world;
    private final Schedule<W> schedule;
    private final Consumer<O> outputHandler;
    private final BiFunction<O, String, Optional<I>> failedOutputs;
    private boolean tickScheduled;
    private long timerId = NO_TIMER;
    private long timerDeadlineMillis = Long.MAX_VALUE;

    /**
     * Creates a loop; its first tick runs after the first message.
     *
     * @param outputHandler handles each output message; called on the context of the loop
     * @param failedOutputs returns the message that tells the world of an output message that could
     *     not be handled, and why; empty if nothing in the world waits for it
     */
    public TickLoop(
            Vertx vertx,
            Context context,
            InstantSource clock,
            W world,
            Schedule<W> schedule,
            Consumer<O> outputHandler,
            BiFunction<O, String, Optional<I>> failedOutputs) {
        this.vertx = requireNonNull(vertx);
        this.context = requireNonNull(context);
        this.clock = requireNonNull(clock);
        this.world = requireNonNull(world);
        this.schedule = requireNonNull(schedule);
        this.outputHandler = requireNonNull(outputHandler);
        this.failedOutputs = requireNonNull(failedOutputs);
    }

    /** Adds a message to the inbox and schedules a tick; may be called from any thread. */
    public void offer(I message) {
        if (Vertx.currentContext() == context) {
            addToInbox(message);
        } else {
            context.runOnContext(ignored -> addToInbox(message));
        }
    }

    /** Returns the world, which may only be used on the context of the loop. */
    public W world() {
        return world;
    }

    private void addToInbox(I message) {
        world.inbox().add(message);
        scheduleTick();
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            context.runOnContext(ignored -> tick());
        }
    }

    private void tick() {
        tickScheduled = false;
        try {
            schedule.tick(world, clock.millis());
        } finally {
            // An error, such as an overflow of the stack, must not drop the outputs and the timer.
            sendOutputs();
        }
    }

    private void sendOutputs() {
        world.outbox().take(MAX_OUTPUTS_PER_TICK).forEach(this::handleOutput);
        if (!world.inbox().isEmpty() || !world.outbox().isEmpty()) {
            scheduleTick();
        }
        updateTimer();
    }

    /**
     * Handles a message. An exception does not keep the messages after it from being handled, and
     * goes back to the world, which may have a request that waits for the message.
     */
    private void handleOutput(O message) {
        try {
            outputHandler.accept(message);
        } catch (RuntimeException failure) {
            LOG.error("output message could not be handled: {}", message, failure);
            failedOutputs
                    .apply(message, "output could not be handled: " + failure)
                    .ifPresent(world.inbox()::add);
        }
    }

    private void updateTimer() {
        OptionalLong deadlineMillis = world.nextDeadlineMillis();
        if (deadlineMillis.isPresent() && deadlineMillis.getAsLong() != timerDeadlineMillis) {
            cancelTimer();
            timerDeadlineMillis = deadlineMillis.getAsLong();
            long delayMillis = Math.max(1, timerDeadlineMillis - clock.millis());
            timerId = vertx.setTimer(delayMillis, ignored -> onTimer());
        } else if (deadlineMillis.isEmpty()) {
            cancelTimer();
        }
    }

    private void onTimer() {
        timerId = NO_TIMER;
        timerDeadlineMillis = Long.MAX_VALUE;
        if (!tickScheduled) {
            tick();
        }
    }

    private void cancelTimer() {
        if (timerId != NO_TIMER) {
            vertx.cancelTimer(timerId);
        }
        timerId = NO_TIMER;
        timerDeadlineMillis = Long.MAX_VALUE;
    }
}

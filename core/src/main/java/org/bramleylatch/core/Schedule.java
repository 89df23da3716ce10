package org.bramleylatch.core;

import java.util.List;

/**
 * Runs systems over a world in a fixed order. A system that throws keeps no other from running.
 *
 * @param <W> the world type
 */
public record Schedule<W>(List<TickSystem<W>> systems, FailureHandler failures) {

    /** Copies the list of systems. */
    public Schedule {
        systems = List.copyOf(systems);
    }

    /**
     * Creates a schedule that runs the systems in the given order.
     *
     * @param failures handles the exceptions of the systems
     */
    @SafeVarargs
    public static <W> Schedule<W> of(FailureHandler failures, TickSystem<W>... systems) {
        return new Schedule<>(List.of(systems), failures);
    }

    /**
     * Runs every system once.
     *
     * @param nowMillis the time of the tick, in milliseconds since the epoch
     */
    public void tick(W world, long nowMillis) {
        systems.forEach(failures.guard(system -> system.run(world, nowMillis)));
    }
}

package org.bramleylatch.core;

import java.util.List;

/**
 * Runs systems over a world in a fixed order.
 *
 * @param <W> the world type
 */
public record Schedule<W>(List<TickSystem<W>> systems) {

    /** Copies the list of systems. */
    public Schedule {
        systems = List.copyOf(systems);
    }

    /** Creates a schedule that runs the systems in the given order. */
    @SafeVarargs
    public static <W> Schedule<W> of(TickSystem<W>... systems) {
        return new Schedule<>(List.of(systems));
    }

    /**
     * Runs every system once.
     *
     * @param nowMillis the time of the tick, in milliseconds since the epoch
     */
    public void tick(W world, long nowMillis) {
        systems.forEach(system -> system.run(world, nowMillis));
    }
}

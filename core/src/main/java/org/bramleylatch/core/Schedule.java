package org.bramleylatch.core;

import java.util.List;

/**
 * Runs systems over a world in a fixed order.
 *
 * @param <W> the world
 */
public record Schedule<W>(List<TickSystem<W>> systems) {

    /** Copies the list of systems. */
    public Schedule {
        systems = List.copyOf(systems);
    }

    /** Returns a schedule that runs the given systems in the given order. */
    @SafeVarargs
    public static <W> Schedule<W> of(TickSystem<W>... systems) {
        return new Schedule<>(List.of(systems));
    }

    /**
     * Runs every system once.
     *
     * @param world the tables
     * @param nowMillis the time of the tick, in milliseconds
     */
    public void tick(W world, long nowMillis) {
        systems.forEach(system -> system.run(world, nowMillis));
    }
}

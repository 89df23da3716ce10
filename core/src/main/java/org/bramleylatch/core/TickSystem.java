package org.bramleylatch.core;

/**
 * Runs over the tables of a world once each tick. A system does no I/O and reads no clock; the time
 * is given to it.
 *
 * @param <W> the world whose tables the system runs over
 */
@FunctionalInterface
public interface TickSystem<W> {

    /**
     * Runs the system once.
     *
     * @param world the tables
     * @param nowMillis the time of this tick, in milliseconds of the runtime's clock
     */
    void run(W world, long nowMillis);
}

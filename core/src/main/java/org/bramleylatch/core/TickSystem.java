package org.bramleylatch.core;

/**
 * Reads and updates the tables of a world once per tick. A system does no I/O and reads no clock;
 * it is given the time.
 *
 * @param <W> the world type
 */
@FunctionalInterface
public interface TickSystem<W> {

    /**
     * Runs the system once.
     *
     * @param nowMillis the time of the tick by the process's clock, in milliseconds since the epoch
     */
    void run(W world, long nowMillis);
}

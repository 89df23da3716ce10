package org.bramleylatch.wire;

import org.bramleylatch.core.Event;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.Zone;

/**
 * Holds one line of the timeline file that a process writes.
 *
 * @param order the position in causal order: greater than that of every line, of any process, that
 *     could have caused this one
 * @param millis the wall clock, in milliseconds since the epoch; for human readers only, since the
 *     clocks of processes differ
 */
public record TimelineLine(
        long order, long millis, String process, Incarnation incarnation, Zone zone, Event event) {}

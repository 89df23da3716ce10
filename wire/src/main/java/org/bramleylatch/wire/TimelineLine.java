package org.bramleylatch.wire;

import org.bramleylatch.core.Event;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.Zone;

/**
 * Is one line of the time line as a process writes it.
 *
 * @param order the causal order: greater than that of every line that could have caused this one
 * @param millis the wall clock, in milliseconds since the epoch; for people only
 */
public record TimelineLine(
        long order, long millis, String process, Incarnation incarnation, Zone zone, Event event) {}

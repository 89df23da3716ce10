package org.bramleylatch.edge;

import org.bramleylatch.core.Incarnation;

/**
 * Identifies the sender in the first message of each side of a connection.
 *
 * @param order the sender's hybrid logical clock when it sent the message
 */
public record Hello(Incarnation incarnation, long order) {}

package org.bramleylatch.edge;

import org.bramleylatch.core.Incarnation;

/** Is the first message of a link: who speaks, and its causal order. */
public record Hello(Incarnation incarnation, long order) {}

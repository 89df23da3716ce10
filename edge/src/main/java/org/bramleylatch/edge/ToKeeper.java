package org.bramleylatch.edge;

import org.bramleylatch.core.KeeperInput;

/** Carries a message from a router to a keeper, with the sender's causal order. */
public record ToKeeper(long order, KeeperInput message) {}

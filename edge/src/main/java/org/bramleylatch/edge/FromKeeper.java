package org.bramleylatch.edge;

import org.bramleylatch.core.KeeperOutput;

/** Carries a message from a keeper to a router, with the sender's causal order. */
public record FromKeeper(long order, KeeperOutput message) {}

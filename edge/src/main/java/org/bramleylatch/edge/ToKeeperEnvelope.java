package org.bramleylatch.edge;

import org.bramleylatch.core.KeeperInput;

/**
 * Wraps a message from a router to a keeper.
 *
 * @param order the sender's hybrid logical clock when it sent the message
 */
public record ToKeeperEnvelope(long order, KeeperInput message) {}

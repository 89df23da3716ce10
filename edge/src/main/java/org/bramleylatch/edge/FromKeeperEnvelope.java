package org.bramleylatch.edge;

import org.bramleylatch.core.KeeperOutput;

/**
 * Wraps a message from a keeper to a router.
 *
 * @param order the sender's hybrid logical clock when it sent the message
 */
public record FromKeeperEnvelope(long order, KeeperOutput message) {}

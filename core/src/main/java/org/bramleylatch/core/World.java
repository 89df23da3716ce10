package org.bramleylatch.core;

import java.util.OptionalLong;

/**
 * Holds the tables of one process and the messages between its systems and the code that does I/O.
 *
 * @param <I> the messages to the systems
 * @param <O> the messages from the systems
 */
public interface World<I, O> {

    /** Returns the queue of messages for the next tick. */
    Mailbox<I> inbox();

    /** Returns the queue of messages that ticks produced and that were not sent yet. */
    Mailbox<O> outbox();

    /**
     * Returns when a tick is due even without a new message, in milliseconds since the epoch; empty
     * if no deadline is set.
     */
    OptionalLong nextDeadlineMillis();
}

package org.bramleylatch.core;

import java.util.OptionalLong;

/**
 * Holds the tables of one process and the messages that go in and out of it.
 *
 * @param <I> the messages that edges put in
 * @param <O> the messages that edges carry out
 */
public interface World<I, O> {

    /** Returns the messages that wait for the next tick. */
    Mailbox<I> inbox();

    /** Returns the messages that the last ticks produced. */
    Mailbox<O> outbox();

    /** Returns the time of the earliest deadline in the tables, in milliseconds, if any. */
    OptionalLong nextDeadlineMillis();
}

package org.bramleylatch.core;

/** Is a message into the world of the administration API. */
public sealed interface AdminInput {

    /** An operator proposes a record; the id joins the verdict with the call. */
    record Proposed(long call, LedgerRecord record) implements AdminInput {}

    /** The log tells something. */
    record FromLog(LedgerFeed feed) implements AdminInput {}
}

package org.bramleylatch.core;

/** Lists the messages that the administration API puts into its world. */
public sealed interface AdminInput {

    /**
     * Proposes a record on behalf of an operator.
     *
     * @param callId the id by which the result finds the waiting API call
     */
    record Proposed(long callId, LedgerRecord record) implements AdminInput {}

    /** Carries a message from the account stream of the log. */
    record FromLog(LogUpdate update) implements AdminInput {}
}

package org.bramleylatch.fakes;

/** Names what can happen to one append on its way. */
public enum AppendFault {
    /** The append arrives and is answered. */
    NONE,
    /** The append takes effect, but its answer is lost. */
    ANSWER_LOST,
    /** The append never arrives. */
    LOST,
    /** The append takes effect twice. */
    DOUBLED,
    /** The append arrives long after the writer has sent it again. */
    LATE
}

package org.bramleylatch.fakes;

/** Names the faults that a test can inject into one append to the log. */
public enum AppendFault {
    /** The append takes effect and is acknowledged. */
    NONE,
    /** The append takes effect, but its acknowledgement is lost. */
    ANSWER_LOST,
    /** The append never reaches the log and has no effect. */
    LOST,
    /** The append takes effect twice. */
    DOUBLED,
    /** The append takes effect late, after the writer has sent the same batch again. */
    LATE
}

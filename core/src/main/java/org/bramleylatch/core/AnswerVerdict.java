package org.bramleylatch.core;

/** Says what an answer that arrived for an attempt means for its request. */
public enum AnswerVerdict {
    /** Answers the request. */
    ANSWER,
    /** Proves that the endpoint has not run the request. */
    REFUSAL,
    /** May be the answer to another request; the endpoint may run this one. */
    UNATTRIBUTED,
    /**
     * Is not final, or has a status that promises that the request did not run without the
     * endpoint's statement that it did not; the endpoint may run it.
     */
    UNPROVEN
}

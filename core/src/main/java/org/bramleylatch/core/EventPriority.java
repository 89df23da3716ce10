package org.bramleylatch.core;

/**
 * Ranks events for a log with a limited rate, from the first that it omits to the last. Events of a
 * rank leave the rest of the limit to higher ranks.
 */
public enum EventPriority {
    /** A single step of a request or of the tokens behind it, such as an attempt or a grant. */
    STEP(60),
    /** The arrival or the end of a request, and the state of a budget. */
    REQUEST(80),
    /** The refusal of a request. */
    REFUSAL(90),
    /** The state of the process, its VM or the fleet. */
    PROCESS(100);

    private final int percentOfLines;

    EventPriority(int percentOfLines) {
        this.percentOfLines = percentOfLines;
    }

    /** Returns how many of the lines may be written before events of this priority are omitted. */
    public int maxLines(int limit) {
        return (int) ((long) limit * percentOfLines / 100);
    }
}

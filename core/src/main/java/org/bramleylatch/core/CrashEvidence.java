package org.bramleylatch.core;

import java.util.List;

/**
 * Holds all that one router knows at first hand about prompts that crash endpoints.
 *
 * @param crashes the crashes that it saw, each with the parts that it had running there
 * @param clears the answers that it saw completed on prompts with parts that any router suspects
 */
public record CrashEvidence(Incarnation router, List<CrashReport> crashes, List<PartClears> clears)
        implements RouterReport {

    /** Copies the lists. */
    public CrashEvidence {
        crashes = List.copyOf(crashes);
        clears = List.copyOf(clears);
    }
}

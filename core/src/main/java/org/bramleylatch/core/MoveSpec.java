package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Describes a planned move of a route from one endpoint version to the next.
 *
 * @param route the route whose requests move
 * @param deadlineMillis when the move must have ended, in milliseconds since the epoch
 * @param stagesPermille the share of the new version in each stage, in thousandths
 * @param goodPerStage how many good attempts at the new version end a stage
 */
public record MoveSpec(
        RouteName route,
        Version from,
        Version to,
        long deadlineMillis,
        List<Integer> stagesPermille,
        int goodPerStage) {

    /** Checks the parts and copies the list. */
    public MoveSpec {
        requireNonNull(route, "route");
        requireNonNull(from, "from");
        requireNonNull(to, "to");
        stagesPermille = List.copyOf(stagesPermille);
        if (stagesPermille.isEmpty() || goodPerStage <= 0) {
            throw new IllegalArgumentException("a move needs stages and attempts");
        }
    }
}

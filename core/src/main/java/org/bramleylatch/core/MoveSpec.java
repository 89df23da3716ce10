package org.bramleylatch.core;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Describes a planned move of a route from one endpoint version to another.
 *
 * @param deadlineMillis when a move that is still running is taken back, in milliseconds since the
 *     epoch
 * @param stagesPermille the share of the requests that go to the new version in each stage, in
 *     thousandths; not empty
 * @param goodPerStage how many good attempts at the new version complete a stage; positive
 */
public record MoveSpec(
        RouteName route,
        Version from,
        Version to,
        long deadlineMillis,
        List<Integer> stagesPermille,
        int goodPerStage) {

    /** Rejects null names, an empty list of stages and a count that is not positive. */
    public MoveSpec {
        requireNonNull(route, "route");
        requireNonNull(from, "from");
        requireNonNull(to, "to");
        stagesPermille = List.copyOf(stagesPermille);
        if (stagesPermille.isEmpty() || goodPerStage <= 0) {
            throw new IllegalArgumentException(
                    "a planned move needs at least one stage and a positive goodPerStage");
        }
    }
}

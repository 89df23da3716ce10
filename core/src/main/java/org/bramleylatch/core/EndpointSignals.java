package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterInput.BrittleRefusal;
import org.bramleylatch.core.RouterInput.EndpointLeaving;
import org.bramleylatch.core.RouterInput.EndpointPaused;

/**
 * Applies what endpoints say of themselves in their answers, and tells which of them are paused.
 */
record EndpointSignals(RouterWorld world, long nowMillis) {
    /** Bounds what a faulty endpoint can name; no maintenance takes longer. */
    private static final long MAX_PAUSE_MILLIS = 60 * 60 * 1_000L;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Marks an endpoint as leaving; it gets no new request until it is started anew. */
    boolean applyLeaving(EndpointLeaving leaving) {
        Optional<EndpointRow> row =
                world.endpoints()
                        .find(leaving.endpoint())
                        .filter(found -> !found.leavingSignals().reportedLeaving());
        row.ifPresent(
                found -> {
                    world.endpoints()
                            .put(
                                    found.id(),
                                    found.withLeavingSignals(
                                            found.leavingSignals().withReportedLeaving(true)));
                    world.note(EventKind.ENDPOINT_LEAVING, found.id(), "said so in an answer");
                });
        return row.isPresent();
    }

    /** Sends an endpoint no request for the time that it named; a longer pause stays in force. */
    boolean applyPause(EndpointPaused paused) {
        long untilMillis = nowMillis + Math.min(paused.pauseMillis(), MAX_PAUSE_MILLIS);
        boolean isLonger =
                world.endpointPauses()
                        .find(paused.endpoint())
                        .filter(known -> known >= untilMillis)
                        .isEmpty();
        if (isLonger) {
            world.endpointPauses().put(paused.endpoint(), untilMillis);
            world.note(
                    EventKind.ENDPOINT_PAUSED,
                    paused.endpoint(),
                    "pauseMillis=" + paused.pauseMillis());
        }
        return isLonger;
    }

    /**
     * Sends an endpoint that refused no request for as long as the others of the fleet need for one
     * refusal each, so that all together stay below the rate at which the endpoint falls over.
     */
    boolean applyBrittleRefusal(BrittleRefusal refusal) {
        double millis = world.routerCount() * MILLIS_PER_SECOND / refusal.refusalsPerSecond();
        return applyPause(
                new EndpointPaused(refusal.endpoint(), (long) Math.min(millis, MAX_PAUSE_MILLIS)));
    }

    /** Returns true while the endpoint wants no requests. */
    boolean isPaused(EndpointId endpoint) {
        return world.endpointPauses().find(endpoint).filter(until -> nowMillis < until).isPresent();
    }

    /**
     * Returns how long it takes until the first of the endpoints that serve the request is no
     * longer paused; empty if none of them is paused.
     */
    Optional<Long> millisUntilPauseEnds(String backEnd) {
        List<EndpointRow> paused =
                world.endpoints().where(row -> row.backEnd().equals(backEnd) && isPaused(row.id()));
        return paused.stream()
                .flatMap(row -> world.endpointPauses().find(row.id()).stream())
                .min(Long::compare)
                .map(untilMillis -> untilMillis - nowMillis);
    }
}

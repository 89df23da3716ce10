package org.bramleylatch.core;

import java.util.Optional;
import org.bramleylatch.core.RouterInput.RateLimitObserved;

/** Applies the limits that endpoints name in their answers. */
record RateLimits(RouterWorld world, long nowMillis) {

    /** Records what an endpoint names in an answer to this router. */
    boolean applyObservation(RateLimitObserved observed) {
        Optional<RateLimitRow> before = world.rateLimits().find(observed.endpoint());
        Optional<Double> limit = observed.requestsPerSecond();
        limit.filter(value -> before.filter(row -> row.requestsPerSecond() == value).isEmpty())
                .ifPresent(
                        value ->
                                world.note(
                                        EventKind.ENDPOINT_LIMITED,
                                        observed.endpoint(),
                                        "requestsPerSecond=" + value));
        if (limit.isEmpty() && before.isPresent()) {
            world.note(EventKind.ENDPOINT_LIMIT_ENDED, observed.endpoint(), "");
        }
        limit.map(value -> new RateLimitRow(observed.endpoint(), value))
                .ifPresentOrElse(
                        row -> world.rateLimits().put(observed.endpoint(), row),
                        () -> world.rateLimits().remove(observed.endpoint()));
        return true;
    }
}

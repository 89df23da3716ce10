package org.bramleylatch.core;

import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RouterInput.RateLimitObserved;

/**
 * Applies the limits that endpoints name to any router, and decides whether this router may send
 * another request to an endpoint.
 */
record RateLimits(RouterWorld world, long nowMillis) {
    /** Older observations say nothing about an endpoint's present state. */
    static final long FRESH_MILLIS = 10_000;

    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Records what an endpoint names in an answer to this router. */
    boolean applyObservation(RateLimitObserved observed) {
        Optional<Double> limit = observed.requestsPerSecond();
        boolean isKnown = world.rateLimits().has(observed.endpoint());
        if (limit.isEmpty() && !isKnown) {
            return false;
        }
        boolean isNews =
                world.ownLimits()
                        .find(observed.endpoint())
                        .filter(before -> before.requestsPerSecond().equals(limit))
                        .isEmpty();
        apply(observed.endpoint(), limit);
        world.ownLimits()
                .put(observed.endpoint(), new EndpointLimit(observed.endpoint(), limit, nowMillis));
        if (isNews) {
            report();
        }
        return true;
    }

    /** Tells all other routers what endpoints named to this one, and its demand. */
    void report() {
        world.setNextLimitReportMillis(nowMillis + REPORT_INTERVAL_MILLIS);
        world.ownLimits().removeIf(row -> nowMillis - row.observedMillis() > FRESH_MILLIS);
        List<BackEndDemand> demands =
                world.rateLimits()
                        .keys()
                        .flatMap(endpoint -> world.endpoints().find(endpoint).stream())
                        .map(EndpointRow::backEnd)
                        .distinct()
                        .map(backEnd -> new BackEndDemand(backEnd, demandPerSecond(backEnd)))
                        .toList();
        world.report(new LimitReport(world.self(), world.ownLimits().where(row -> true), demands));
    }

    /** Returns the requests per second that arrived at this router for the back end. */
    double demandPerSecond(String backEnd) {
        return world.retriesByBackEnd()
                .find(backEnd)
                .map(row -> row.requestsPerSecond(nowMillis))
                .orElse(0.0);
    }

    /** Applies what endpoints named to another router. */
    boolean applyReport(LimitReport report) {
        if (report.router().equals(world.self())) {
            return false;
        }
        report.demands()
                .forEach(
                        demand ->
                                world.demands()
                                        .put(
                                                new RouterWorld.DemandSource(
                                                        report.router().vm(), demand.backEnd()),
                                                demand.requestsPerSecond()));
        report.limits().stream()
                .filter(limit -> world.endpoints().has(limit.endpoint()))
                .filter(limit -> Math.abs(nowMillis - limit.observedMillis()) <= FRESH_MILLIS)
                .filter(limit -> isNew(report.router(), limit))
                .forEach(limit -> apply(limit.endpoint(), limit.requestsPerSecond()));
        return true;
    }

    /** Returns true if the endpoint has no limit or this router may send a request to it now. */
    boolean allows(EndpointId endpoint) {
        return world.rateLimits()
                .find(endpoint)
                .filter(row -> row.permitsAt(nowMillis) < 1)
                .isEmpty();
    }

    /** Returns true if each of the endpoints has a limit. */
    boolean limitsAll(List<EndpointRow> endpoints) {
        return endpoints.stream().allMatch(row -> world.rateLimits().has(row.id()));
    }

    /** Takes a permit for a request that is sent to the endpoint. */
    void countRequest(EndpointId endpoint) {
        world.rateLimits().update(endpoint, row -> row.requestSent(nowMillis));
    }

    /**
     * Returns how long the last of the given number of requests waits until one of the endpoints
     * may take it, in milliseconds; empty if this router has no share of their limits.
     */
    Optional<Long> waitMillis(List<EndpointRow> endpoints, int requests) {
        double permits = 0;
        double perSecond = 0;
        for (EndpointRow endpoint : endpoints) {
            Optional<RateLimitRow> row = world.rateLimits().find(endpoint.id());
            permits += row.map(found -> found.permitsAt(nowMillis)).orElse(0.0);
            perSecond += row.map(RateLimitRow::sharePerSecond).orElse(0.0);
        }
        return perSecond == 0
                ? Optional.empty()
                : Optional.of((long) ((requests - permits) * MILLIS_PER_SECOND / perSecond));
    }

    /**
     * Returns the candidates to choose from while some endpoints have a limit. A permit counts a
     * request, however long its prompt is, so the requests with the longest prompts use them, and
     * the others go to the endpoints without a limit.
     *
     * @param cached the endpoint that probably has the request's shared prefix in its cache
     */
    List<EndpointRow> prefer(
            RequestSpec spec, List<EndpointRow> candidates, Optional<EndpointRow> cached) {
        if (world.rateLimits().size() == 0) {
            return candidates;
        }
        List<EndpointRow> preferred =
                isLongPrompt(spec)
                        ? candidates.stream()
                                .filter(
                                        row ->
                                                isLimited(row)
                                                        || cached.map(EndpointRow::id)
                                                                .filter(row.id()::equals)
                                                                .isPresent())
                                .toList()
                        : candidates.stream().filter(row -> !isLimited(row)).toList();
        return preferred.isEmpty() ? candidates : preferred;
    }

    private boolean isLimited(EndpointRow row) {
        return world.rateLimits()
                .find(row.id())
                .filter(limit -> limit.endedMillis().isEmpty())
                .isPresent();
    }

    /** Returns true if the prompt is at least as long as the mean of the open requests. */
    private boolean isLongPrompt(RequestSpec spec) {
        String backEnd = spec.backEnd();
        double meanTokens =
                world.requests()
                        .rows()
                        .filter(row -> row.spec().backEnd().equals(backEnd))
                        .mapToLong(row -> row.spec().promptTokens())
                        .average()
                        .orElse(0);
        return spec.promptTokens() >= meanTokens;
    }

    private boolean isNew(Incarnation router, EndpointLimit limit) {
        RouterWorld.LimitSource source =
                new RouterWorld.LimitSource(router.stableName(), limit.endpoint());
        boolean isNew =
                world.heardLimits()
                        .find(source)
                        .filter(
                                before ->
                                        before.equals(limit)
                                                || before.observedMillis() > limit.observedMillis())
                        .isEmpty();
        world.heardLimits().put(source, limit);
        return isNew;
    }

    private void apply(EndpointId endpoint, Optional<Double> limit) {
        Optional<RateLimitRow> before = world.rateLimits().find(endpoint);
        limit.ifPresent(value -> name(endpoint, value, before));
        if (limit.isEmpty()) {
            before.ifPresent(this::end);
        }
    }

    private void name(EndpointId endpoint, double limit, Optional<RateLimitRow> before) {
        RateLimitRow after =
                before.map(row -> row.named(limit, nowMillis))
                        .orElseGet(() -> RateLimitRow.of(endpoint, limit, nowMillis));
        boolean isChanged =
                before.filter(row -> row.endedMillis().isEmpty())
                        .filter(row -> row.requestsPerSecond() == limit)
                        .isEmpty();
        world.rateLimits()
                .put(
                        endpoint,
                        after.filled(new RateShare(world, nowMillis).perSecond(after), nowMillis));
        if (isChanged) {
            world.note(
                    EventKind.ENDPOINT_LIMITED,
                    endpoint,
                    "requestsPerSecond="
                            + limit
                            + " share="
                            + new RateShare(world, nowMillis).perSecond(after));
        }
    }

    private void end(RateLimitRow before) {
        world.rateLimits().put(before.endpoint(), before.ended(nowMillis));
        if (before.endedMillis().isEmpty()) {
            world.note(
                    EventKind.ENDPOINT_LIMIT_ENDED,
                    before.endpoint(),
                    "requestsPerSecond=" + before.requestsPerSecond());
        }
    }
}

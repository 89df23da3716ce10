package org.bramleylatch.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.bramleylatch.core.RequestRow.Stage;

/**
 * Starts attempts of queued requests at endpoints with capacity, in order of priority. A request
 * stays queued while endpoints accept work but lack capacity.
 */
record PlacementSystem(Placement placement, RouterLimits limits, FailureHandler failures)
        implements TickSystem<RouterWorld> {

    @Override
    public void run(RouterWorld world, long nowMillis) {
        if (!world.queuedRequests().isEmpty()) {
            List.copyOf(world.queuedRequests()).stream()
                    .flatMap(id -> world.requests().find(id).stream())
                    .filter(row -> row.stage() == Stage.QUEUED)
                    .sorted(Comparator.comparingInt(row -> row.spec().traits().priority()))
                    .forEach(row -> placeOrRefuse(world, row, nowMillis));
        }
    }

    /** Places a request, or ends it if that throws, as it would throw at each tick. */
    private void placeOrRefuse(RouterWorld world, RequestRow row, long nowMillis) {
        try {
            place(world, row, nowMillis);
        } catch (RuntimeException failure) {
            world.requests()
                    .find(row.spec().id())
                    .ifPresent(
                            found ->
                                    RequestCompletion.refuse(
                                            world,
                                            found,
                                            ResultCode.INTERNAL,
                                            "request could not be placed"));
            failures.handle(row, failure);
        }
    }

    private void place(RouterWorld world, RequestRow row, long nowMillis) {
        Optional<QuarantineRow> quarantine = QuarantineSystem.findBlocking(world, row, nowMillis);
        if (quarantine.isPresent()) {
            QuarantineSystem.refuse(world, row, quarantine.get(), nowMillis);
            return;
        }
        List<EndpointRow> accepting = acceptingEndpoints(world, row, nowMillis);
        long worstCaseTokens = row.spec().worstCaseTokens();
        if (accepting.stream().noneMatch(endpoint -> endpoint.canHold(worstCaseTokens))) {
            refuseUnservable(world, row, accepting, nowMillis);
            return;
        }
        RateLimits rateLimits = new RateLimits(world, nowMillis);
        List<EndpointRow> withCapacity =
                accepting.stream()
                        .filter(e -> e.hasCapacityFor(worstCaseTokens, world.routerCount()))
                        .toList();
        List<EndpointRow> withPermit =
                withCapacity.stream().filter(e -> rateLimits.allows(e.id())).toList();
        placement
                .choose(
                        row.spec(),
                        world.zone(),
                        rateLimits.prefer(
                                row.spec(),
                                withPermit,
                                placement.findCached(row.spec(), accepting)))
                .ifPresentOrElse(
                        endpoint -> start(world, row, endpoint, nowMillis),
                        () -> refuseIfLimited(world, row, accepting, rateLimits));
    }

    private static void refuseUnservable(
            RouterWorld world, RequestRow row, List<EndpointRow> accepting, long nowMillis) {
        Optional<Long> pauseMillis =
                new EndpointSignals(world, nowMillis).millisUntilPauseEnds(row.spec().backEnd());
        if (accepting.isEmpty() && row.deliveredTokens() == 0 && pauseMillis.isPresent()) {
            RequestCompletion.refuse(
                    world, row, ResultCode.OVERLOADED, "endpoints asked for a pause", pauseMillis);
            return;
        }
        ResultCode code =
                row.deliveredTokens() > 0 ? ResultCode.ANSWER_INCOMPLETE : ResultCode.NO_ENDPOINT;
        String detail =
                accepting.isEmpty()
                        ? "no endpoint can serve the request"
                        : "no endpoint has the memory for the request";
        RequestCompletion.refuse(world, row, code, detail);
    }

    /**
     * Refuses a request at once if all endpoints have limits and no permit comes in time. A stream
     * that has begun keeps waiting, as nobody else can continue it.
     */
    private static void refuseIfLimited(
            RouterWorld world, RequestRow row, List<EndpointRow> accepting, RateLimits rateLimits) {
        long maxWaitMillis =
                row.spec().route().options().targetLatencyMillis() / Admission.QUEUE_WAIT_DIVISOR;
        boolean mayBeRefused = row.deliveredTokens() == 0 && maxWaitMillis > 0;
        if (!mayBeRefused || !rateLimits.limitsAll(accepting)) {
            return;
        }
        int queuedUpTo =
                (int)
                        world.queuedRequests().stream()
                                .flatMap(id -> world.requests().find(id).stream())
                                .filter(other -> comesBeforeOrIs(other, row))
                                .count();
        Optional<Long> waitMillis = rateLimits.waitMillis(accepting, queuedUpTo);
        if (waitMillis.filter(millis -> millis <= maxWaitMillis).isEmpty()) {
            RequestCompletion.refuse(
                    world,
                    row,
                    ResultCode.OVERLOADED,
                    "all endpoints limit their requests per second",
                    waitMillis);
        }
    }

    private static boolean comesBeforeOrIs(RequestRow other, RequestRow row) {
        return other.spec().backEnd().equals(row.spec().backEnd())
                && other.spec().traits().priority() <= row.spec().traits().priority();
    }

    /**
     * Returns the endpoints that accept the request. During a move, it falls back to those of the
     * old version if the new one has none, which counts as a failure of the new version.
     */
    private static List<EndpointRow> acceptingEndpoints(
            RouterWorld world, RequestRow row, long nowMillis) {
        List<EndpointRow> accepting = new Candidates(world, nowMillis).of(row);
        List<EndpointRow> ofOldVersion =
                accepting.isEmpty()
                        ? new Candidates(world, nowMillis).ofOldVersion(row)
                        : List.of();
        if (!ofOldVersion.isEmpty()) {
            MoveReportSystem.countFallbackToOldVersion(world, row);
        }
        return accepting.isEmpty() ? ofOldVersion : accepting;
    }

    /**
     * Returns true if an endpoint that has not failed the request would take it at once, even after
     * those that are queued for the same back end.
     *
     * @param except the endpoint that the request would leave
     */
    static boolean hasPlaceElsewhere(
            RouterWorld world, RequestRow row, EndpointId except, long nowMillis) {
        if (QuarantineSystem.findBlocking(world, row, nowMillis).isPresent()) {
            return false;
        }
        List<EndpointRow> accepting = new Candidates(world, nowMillis).of(row);
        List<EndpointRow> possible =
                accepting.isEmpty()
                        ? new Candidates(world, nowMillis).ofOldVersion(row)
                        : accepting;
        RateLimits rateLimits = new RateLimits(world, nowMillis);
        long worstCaseTokens = row.spec().worstCaseTokens();
        long free =
                possible.stream()
                        .filter(e -> !e.id().equals(except))
                        .filter(e -> !row.failedEndpoints().contains(e.id()))
                        .filter(e -> e.hasCapacityFor(worstCaseTokens, world.routerCount()))
                        .filter(e -> rateLimits.allows(e.id()))
                        .count();
        return countQueued(world, row.spec().backEnd()) < free;
    }

    private static long countQueued(RouterWorld world, String backEnd) {
        return world.queuedRequests().stream()
                .flatMap(id -> world.requests().find(id).stream())
                .filter(row -> row.spec().backEnd().equals(backEnd))
                .count();
    }

    private void start(RouterWorld world, RequestRow row, EndpointRow endpoint, long nowMillis) {
        new RateLimits(world, nowMillis).countRequest(endpoint.id());
        AttemptId attempt = world.newAttemptId();
        RequestSpec spec = row.spec();
        long worstCaseTokens = spec.worstCaseTokens();
        world.queuedRequests().remove(spec.id());
        RequestRow started = row.attemptStarted(attempt, endpoint.id());
        Optional<String> via = new EndpointPaths(world, nowMillis).choose(endpoint.id(), attempt);
        AttemptRow attemptRow =
                new AttemptRow(
                        attempt,
                        spec.id(),
                        endpoint.id(),
                        worstCaseTokens,
                        spec.promptTokens(),
                        row.deliveredTokens(),
                        nowMillis,
                        0,
                        nowMillis,
                        false,
                        via);
        world.requests().put(spec.id(), started);
        world.attempts().put(attempt, attemptRow);
        world.endpoints()
                .put(endpoint.id(), endpoint.requestSent(worstCaseTokens, spec.promptTokens()));
        world.timers()
                .set(
                        new RouterTimer.AttemptSilenceCheck(attempt),
                        SilenceLimit.noticeMillis(started, attemptRow, limits));
        reportAttempt(world, row, attempt, endpoint.id());
        world.send(
                new RouterOutput.StartAttempt(
                        attempt, spec.id(), endpoint.id(), row.deliveredTokens(), via));
        noteStart(world, spec, attemptRow);
    }

    private static void noteStart(RouterWorld world, RequestSpec spec, AttemptRow attempt) {
        world.note(
                EventKind.ATTEMPT_STARTED,
                spec.key(),
                "attempt="
                        + attempt.id()
                        + " endpoint="
                        + attempt.endpoint()
                        + attempt.via().map(peer -> " via=" + peer).orElse(""));
    }

    private static void reportAttempt(
            RouterWorld world, RequestRow row, AttemptId attempt, EndpointId endpoint) {
        Optional<Incarnation> keeper = row.keeper().filter(k -> row.grant().isPresent());
        keeper.map(
                        k ->
                                new RouterOutput.ToKeeper(
                                        k,
                                        new KeeperInput.AttemptNoted(
                                                world.self(), row.spec().key(), attempt, endpoint)))
                .ifPresent(world::send);
    }
}

package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bramleylatch.core.RouterInput.EndpointProbed.Outcome;

/**
 * Drives several routers in virtual time, each with a keeper in its process that relays its
 * reports. Tests act as callers and endpoints; a part named "crashing" ends the endpoint that
 * begins to answer it.
 */
final class RouterFleet {
    static final String CRASHING = "crashing";
    private static final Zone ZONE = Zone.of("langnau");
    private static final RouteOptions RESUMABLE =
            new RouteOptions(
                    Optional.empty(), true, false, true, true, false, 2, 0, 0, 500, List.of());
    private static final RouteRow CHAT =
            new RouteRow(
                    RouteName.of("chat"),
                    RouteKind.CHAT,
                    "/chat/",
                    "seilhelfer",
                    true,
                    0,
                    List.of(),
                    Optional.of(RESUMABLE));
    private static final long TIMEOUT_MILLIS = 4_000;

    private final Schedule<RouterWorld> schedule =
            RouterSystems.schedule(
                    Placement.bySharedPrefix(),
                    RouterLimits.colocatedWithKeeper(56, 200, 10_000),
                    FailureHandler.rethrowing());
    private final Map<String, RouterWorld> routers = new TreeMap<>();
    private final Map<String, List<RouterOutput>> outputs = new TreeMap<>();
    private final Map<String, RouterReport> storedReports = new TreeMap<>();
    private final List<EndpointRow> endpoints = new ArrayList<>();
    private final List<MoveSpec> proposedMoves = new ArrayList<>();
    private final List<EndpointId> crashedEndpoints = new ArrayList<>();
    private boolean connected = true;
    private long nowMillis = 1_700_000_000_000L;
    private long count;

    RouterFleet(int routerCount, int endpointCount) {
        for (int index = 1; index <= endpointCount; index++) {
            endpoints.add(endpoint("endpoint-" + index));
        }
        for (int index = 1; index <= routerCount; index++) {
            start("vm-" + index);
        }
    }

    /** Starts a router, or restarts it with nothing but what the store holds. */
    void start(String vm) {
        count++;
        RouterWorld world =
                RouterWorld.of(Incarnation.of("router@" + vm + "-" + count), ZONE, this::attemptId);
        routers.put(vm, world);
        outputs.put(vm, new ArrayList<>());
        receive(vm, new RouterInput.LocalKeeperUp(keeper(vm)));
        endpoints.forEach(row -> receive(vm, new RouterInput.EndpointAnnounced(row)));
        storedReports
                .values()
                .forEach(report -> receive(vm, new RouterInput.ReportReceived(report)));
        routers.keySet()
                .forEach(
                        name -> {
                            receive(name, new RouterInput.KeeperUp(keeper(vm)));
                            receive(vm, new RouterInput.KeeperUp(keeper(name)));
                            receive(name, new RouterInput.RoutersCounted(routers.size()));
                        });
    }

    /** Cuts the routers off from each other and from the store, or connects them again. */
    void setConnected(boolean isConnected) {
        connected = isConnected;
    }

    /** Breaks the connections between two routers and each other's keepers. */
    void disconnect(String vm, String other) {
        receive(vm, new RouterInput.KeeperDown(keeper(other)));
        receive(other, new RouterInput.KeeperDown(keeper(vm)));
    }

    /** Lets a request with these shared parts arrive; returns its id. */
    RequestId arrive(String vm, String... parts) {
        RequestSpec spec = newSpec(parts);
        receive(vm, new RouterInput.RequestArrived(spec));
        return spec.id();
    }

    /** Lets a request arrive that repeats all others with the same fingerprint. */
    RequestId arriveAgain(String vm, String fingerprint, String... parts) {
        RequestSpec spec =
                newSpec(
                        new RequestTraits(
                                50, List.of(parts), Optional.of(fingerprint), 0, false, 0));
        receive(vm, new RouterInput.RequestArrived(spec));
        return spec.id();
    }

    /** Returns a new request with these shared parts. */
    RequestSpec newSpec(String... parts) {
        return newSpec(new RequestTraits(50, List.of(parts), 0, false));
    }

    private RequestSpec newSpec(RequestTraits traits) {
        count++;
        return new RequestSpec(
                RequestId.of("request-" + count),
                RequestKey.of(nowMillis, count),
                true,
                BudgetId.NONE,
                CHAT,
                100,
                10,
                7,
                nowMillis + TIMEOUT_MILLIS,
                traits);
    }

    /** Lets an endpoint answer a router with a limit; empty for an answer without one. */
    void answerWithLimit(String vm, EndpointId endpoint, Optional<Double> requestsPerSecond) {
        receive(vm, new RouterInput.RateLimitObserved(endpoint, requestsPerSecond));
    }

    /** Returns the ids of the endpoints, in the order in which they were started. */
    List<EndpointId> endpointIds() {
        return endpoints.stream().map(EndpointRow::id).toList();
    }

    /** Removes and returns the attempts that all routers started since the last call. */
    List<RouterOutput.StartAttempt> takeStarted() {
        return routers.keySet().stream()
                .flatMap(vm -> take(vm, RouterOutput.StartAttempt.class).stream())
                .toList();
    }

    /** Removes and returns the moves that the router asked its keeper to begin. */
    List<MoveSpec> proposedMoves() {
        List<MoveSpec> proposed = List.copyOf(proposedMoves);
        proposedMoves.clear();
        return proposed;
    }

    /** Returns the states of orders that the router reported to the operator. */
    List<MoveRow.State> reportedRollouts(String vm) {
        return outputs.get(vm).stream()
                .filter(RouterOutput.ReportRollout.class::isInstance)
                .map(RouterOutput.ReportRollout.class::cast)
                .map(RouterOutput.ReportRollout::state)
                .filter(state -> state != MoveRow.State.RUNNING)
                .toList();
    }

    /** Begins the answers of all running requests: crashes the endpoint, or completes them. */
    void answerAll() {
        routers.keySet().forEach(this::crashEndpoints);
        routers.keySet().forEach(this::completeAnswers);
    }

    /** Breaks the connections of all attempts of the router; a new one is accepted or refused. */
    void breakAttempts(String vm, boolean endpointEnded) {
        running(vm)
                .forEach(
                        attempt ->
                                receive(
                                        vm,
                                        new RouterInput.AttemptFailed(
                                                attempt.id(),
                                                RunState.UNKNOWN,
                                                "reset",
                                                RouterInput.AttemptFailed.Cause.CONNECTION_LOST)));
        take(vm, RouterOutput.ProbeEndpoint.class)
                .forEach(
                        probe ->
                                receive(
                                        vm,
                                        new RouterInput.EndpointProbed(
                                                probe.endpoint(),
                                                endpointEnded ? Outcome.REFUSED : Outcome.CONNECTED,
                                                "test")));
    }

    /** Lists the endpoint with a single slot. */
    void setFull(EndpointId endpoint) {
        EndpointRow row = endpoint(endpoint.value()).withSlots(1);
        routers.keySet().forEach(vm -> receive(vm, new RouterInput.EndpointAnnounced(row)));
    }

    /** Marks all endpoints as leaving. */
    void drainEndpoints() {
        LeavingSignals leaving = LeavingSignals.none().withListedAsLeaving(true);
        routers.keySet()
                .forEach(
                        vm ->
                                endpoints.stream()
                                        .map(row -> row.withLeavingSignals(leaving))
                                        .map(RouterInput.EndpointAnnounced::new)
                                        .forEach(input -> receive(vm, input)));
    }

    void receive(String vm, RouterInput input) {
        routers.get(vm).inbox().add(input);
        tick(vm);
    }

    void advance(long millis) {
        nowMillis += millis;
        routers.keySet().forEach(this::tick);
    }

    int crashCount() {
        return crashedEndpoints.size();
    }

    /** Lets the answers of all attempts begin. */
    void beginAnswers() {
        routers.keySet()
                .forEach(
                        vm ->
                                running(vm)
                                        .forEach(
                                                attempt ->
                                                        receive(
                                                                vm,
                                                                new RouterInput.TokensArrived(
                                                                        attempt.id(),
                                                                        0,
                                                                        1,
                                                                        "text"))));
    }

    /** Returns the attempts of all routers that run now. */
    int runningCount() {
        return routers.keySet().stream().mapToInt(vm -> running(vm).size()).sum();
    }

    /** Returns how a request was refused; empty if it was not. */
    Optional<RouterOutput.Refuse> refusal(String vm, RequestId request) {
        return outputs.get(vm).stream()
                .filter(RouterOutput.Refuse.class::isInstance)
                .map(RouterOutput.Refuse.class::cast)
                .filter(refuse -> refuse.request().equals(request))
                .findFirst();
    }

    List<String> vms() {
        return List.copyOf(routers.keySet());
    }

    RouterWorld world(String vm) {
        return routers.get(vm);
    }

    private List<AttemptRow> running(String vm) {
        return routers.get(vm).attempts().where(row -> true);
    }

    private void crashEndpoints(String vm) {
        running(vm).stream()
                .filter(attempt -> partsOf(vm, attempt).contains(CRASHING))
                .map(AttemptRow::endpoint)
                .distinct()
                .forEach(this::crash);
    }

    private void crash(EndpointId endpoint) {
        crashedEndpoints.add(endpoint);
        routers.keySet().forEach(vm -> breakAttemptsAt(vm, endpoint));
        routers.keySet().forEach(vm -> receive(vm, new RouterInput.EndpointWithdrawn(endpoint)));
        EndpointRow restarted = endpoint("restarted-" + crashedEndpoints.size());
        endpoints.removeIf(row -> row.id().equals(endpoint));
        endpoints.add(restarted);
        routers.keySet().forEach(vm -> receive(vm, new RouterInput.EndpointAnnounced(restarted)));
    }

    private void breakAttemptsAt(String vm, EndpointId endpoint) {
        running(vm).stream()
                .filter(attempt -> attempt.endpoint().equals(endpoint))
                .forEach(
                        attempt ->
                                receive(
                                        vm,
                                        new RouterInput.AttemptFailed(
                                                attempt.id(),
                                                RunState.UNKNOWN,
                                                "closed",
                                                RouterInput.AttemptFailed.Cause.CONNECTION_LOST)));
        take(vm, RouterOutput.ProbeEndpoint.class)
                .forEach(
                        probe ->
                                receive(
                                        vm,
                                        new RouterInput.EndpointProbed(
                                                probe.endpoint(), Outcome.REFUSED, "refused")));
    }

    private void completeAnswers(String vm) {
        running(vm).stream()
                .filter(attempt -> !partsOf(vm, attempt).contains(CRASHING))
                .forEach(
                        attempt -> {
                            receive(vm, new RouterInput.TokensArrived(attempt.id(), 0, 10, "text"));
                            receive(vm, new RouterInput.AnswerEnded(attempt.id(), 10, "stop"));
                        });
    }

    private List<String> partsOf(String vm, AttemptRow attempt) {
        return routers.get(vm)
                .requests()
                .find(attempt.request())
                .map(row -> row.spec().suspectParts())
                .map(parts -> parts.stream().map(PromptPartId::part).toList())
                .orElse(List.of());
    }

    private void tick(String vm) {
        RouterWorld world = routers.get(vm);
        do {
            schedule.tick(world, nowMillis);
            outputs.get(vm).addAll(world.outbox().take(Integer.MAX_VALUE));
        } while (!world.inbox().isEmpty());
        if (connected) {
            take(vm, RouterOutput.StoreReport.class)
                    .forEach(
                            stored ->
                                    storedReports.put(stored.report().subject(), stored.report()));
            take(vm, RouterOutput.ToKeeper.class).stream()
                    .map(RouterOutput.ToKeeper::message)
                    .forEach(message -> handle(vm, message));
        }
    }

    private void handle(String vm, KeeperInput message) {
        if (message instanceof KeeperInput.RouterReported reported) {
            relay(vm, reported.report());
        } else if (message instanceof KeeperInput.MoveOrdered ordered) {
            proposedMoves.add(ordered.spec());
        }
    }

    private void relay(String vm, RouterReport report) {
        routers.keySet().stream()
                .filter(name -> !name.equals(vm))
                .forEach(name -> receive(name, new RouterInput.ReportReceived(report)));
    }

    private <T extends RouterOutput> List<T> take(String vm, Class<T> type) {
        List<T> found = outputs.get(vm).stream().filter(type::isInstance).map(type::cast).toList();
        outputs.get(vm).removeIf(type::isInstance);
        return found;
    }

    private static EndpointRow endpoint(String name) {
        return EndpointRow.of(
                EndpointId.of(name), "seilhelfer", ZONE, Version.of("v1"), 100_000_000);
    }

    private static Incarnation keeper(String vm) {
        return Incarnation.of("keeper@" + vm + "-0");
    }

    private AttemptId attemptId() {
        count++;
        return AttemptId.of("attempt-" + count);
    }
}

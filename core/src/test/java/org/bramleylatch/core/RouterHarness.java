package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Drives a router's world in virtual time; tests act as its callers, keepers and endpoints. */
final class RouterHarness {
    static final Zone ZONE = Zone.of("langnau");
    static final Incarnation KEEPER = Incarnation.of("keeper-1");
    static final Incarnation OTHER_KEEPER = Incarnation.of("keeper-2");
    static final BudgetId BUDGET = BudgetId.of("budget");
    static final GrantKey GRANT = GrantKey.of(BUDGET, KEEPER);
    static final RouteRow CHAT = RouteRow.chat(RouteName.of("chat"), "seilhelfer-1", "seilhelfer");
    static final RouteRow BOOKING =
            new RouteRow(
                    RouteName.of("bookings"),
                    RouteKind.SERVICE,
                    "/bookings",
                    "ordnerei",
                    false,
                    0,
                    List.of());

    private static final long TIMEOUT_MILLIS = 60_000;

    final RouterWorld world;
    private final Schedule<RouterWorld> schedule;
    private final List<RouterOutput> outputs = new ArrayList<>();
    private long nowMillis = 1_700_000_000_000L;
    private long count;

    RouterHarness() {
        this(Placement.byAffinity(), RouterLimits.standalone());
    }

    RouterHarness(Placement placement, RouterLimits limits) {
        this(placement, limits, FailureHandler.rethrowing());
    }

    RouterHarness(Placement placement, RouterLimits limits, FailureHandler failures) {
        schedule = RouterSystems.schedule(placement, limits, failures);
        world = RouterWorld.of(Incarnation.of("router"), ZONE, this::nextAttemptId);
        receive(new RouterInput.KeeperUp(KEEPER));
    }

    RouterHarness endpoints(String... names) {
        receive(
                new RouterInput.EndpointsListed(
                        List.of(names).stream().map(RouterHarness::endpoint).toList()));
        return this;
    }

    /** Lets a request arrive with a key that its caller gave, and returns the key. */
    RequestKey arrive(RouteRow route, long promptTokens, long maxAnswerTokens) {
        count++;
        return arrive(route, promptTokens, maxAnswerTokens, RequestKey.of(nowMillis, count), true);
    }

    RequestKey arrive(
            RouteRow route,
            long promptTokens,
            long maxAnswerTokens,
            RequestKey key,
            boolean isKeyFromCaller) {
        count++;
        receive(
                new RouterInput.RequestArrived(
                        new RequestSpec(
                                RequestId.of("request-" + count),
                                key,
                                isKeyFromCaller,
                                BUDGET,
                                route,
                                promptTokens,
                                maxAnswerTokens,
                                7,
                                nowMillis + TIMEOUT_MILLIS)));
        return key;
    }

    /** Lets a request that needs no tokens arrive, whose caller waits for the given time. */
    RequestId arriveWithin(RouteRow route, long timeoutMillis, String... parts) {
        count++;
        RequestId id = RequestId.of("request-" + count);
        receive(
                new RouterInput.RequestArrived(
                        new RequestSpec(
                                id,
                                RequestKey.of(nowMillis, count),
                                true,
                                BudgetId.NONE,
                                route,
                                0,
                                0,
                                7,
                                nowMillis + timeoutMillis,
                                new RequestTraits(50, List.of(parts), 0, false))));
        return id;
    }

    /** Lets a call arrive; the router finds its route and member in the configuration. */
    RequestId call(
            String host,
            String path,
            Optional<String> keySha256,
            long promptTokens,
            long maxAnswerTokens) {
        count++;
        RequestId id = RequestId.of("request-" + count);
        receive(
                new RouterInput.CallArrived(
                        new Call(
                                id,
                                RequestKey.of(nowMillis, count),
                                host,
                                path,
                                keySha256,
                                promptTokens,
                                maxAnswerTokens,
                                0,
                                0,
                                List.of(),
                                "fingerprint-" + count,
                                nowMillis,
                                nowMillis,
                                nowMillis,
                                TIMEOUT_MILLIS)));
        return id;
    }

    /** Lets a chat arrive, grants its reservation and returns the attempt that it starts. */
    AttemptId startChat(long promptTokens, long maxAnswerTokens) {
        RequestKey key = arrive(CHAT, promptTokens, maxAnswerTokens);
        receive(new RouterInput.ReserveGranted(KEEPER, key, GRANT));
        return lastOutput(RouterOutput.StartAttempt.class).orElseThrow().attempt();
    }

    void receiveToken(AttemptId attempt, long position) {
        receive(new RouterInput.TokensArrived(attempt, position, 1, "word "));
    }

    long nowMillis() {
        return nowMillis;
    }

    void receive(RouterInput input) {
        world.inbox().add(input);
        tick();
    }

    void advance(long millis) {
        nowMillis += millis;
        tick();
    }

    <T extends RouterOutput> List<T> outputs(Class<T> type) {
        return outputs.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends RouterOutput> Optional<T> lastOutput(Class<T> type) {
        return outputs(type).stream().reduce((first, second) -> second);
    }

    <T extends KeeperInput> List<T> messagesToKeepers(Class<T> type) {
        return outputs(RouterOutput.ToKeeper.class).stream()
                .map(RouterOutput.ToKeeper::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    static EndpointRow endpoint(String name) {
        String backEnd = name.startsWith("ordnerei") ? "ordnerei" : "seilhelfer";
        long memory = backEnd.equals("ordnerei") ? 0 : 10_000;
        return EndpointRow.of(EndpointId.of(name), backEnd, ZONE, Version.of("v1"), memory);
    }

    private void tick() {
        do {
            schedule.tick(world, nowMillis);
            outputs.addAll(world.outbox().take(Integer.MAX_VALUE));
        } while (!world.inbox().isEmpty());
    }

    private AttemptId nextAttemptId() {
        count++;
        return AttemptId.of("attempt-" + count);
    }
}

package org.bramleylatch.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.bramleylatch.core.RouterInput.AttemptFailed;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that end never, twice or late, and against answers that a change of the
 * configuration ends. Each seed plays random changes beside random callers, keepers and endpoints,
 * which may be silent, in virtual time.
 */
class RandomChangesTest {
    private static final int SEEDS = Integer.getInteger("bramleylatch.randomChangesSeeds", 60);
    private static final int STEPS = 600;
    private static final long STEP_MILLIS = 10;
    private static final long LONGEST_TIMEOUT_MILLIS = 6_000;
    private static final List<String> ENDPOINTS =
            List.of("engine-1", "engine-2", "engine-3", "ordnerei-1", "ordnerei-2");

    private final TreeMap<RequestId, Long> deadlines = new TreeMap<>(RandomChangesTest::compare);
    private final TreeMap<RequestId, Long> ends = new TreeMap<>(RandomChangesTest::compare);
    private final Set<RequestId> left = new HashSet<>();
    private final Set<RequestRow.Stage> stages = new HashSet<>();
    private final List<RouterOutput> unanswered = new ArrayList<>();
    private final List<String> history = new ArrayList<>();
    private RouterHarness router;
    private Random random;
    private int seen;
    private long count;

    @Test
    void eachRequestEndsOnceAndInTimeWhateverChangesBesideIt() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            play(seed);
        }
        assertThat(stages).containsExactlyInAnyOrder(RequestRow.Stage.values());
    }

    private void play(int seed) {
        begin(seed);
        for (int step = 0; step < STEPS; step++) {
            act();
            router.advance(STEP_MILLIS);
            readOutputs();
            router.world.requests().rows().map(RequestRow::stage).forEach(stages::add);
        }
        settleAll();
        assertThat(deadlines.keySet().stream().filter(id -> !hasEnded(id)))
                .as(describe())
                .isEmpty();
        assertThat(router.world.requests().size()).as(describe()).isZero();
        assertThat(router.world.requestsByKey().size()).as(describe()).isZero();
        assertThat(router.world.attempts().size()).as(describe()).isZero();
        assertThat(router.world.queuedRequests()).as(describe()).isEmpty();
        assertThat(router.world.remainingLenders().size()).as(describe()).isZero();
        assertThat(router.world.silences().size()).as(describe()).isZero();
        assertThat(router.world.settlements().size()).as(describe()).isZero();
        assertThat(router.world.endpoints().rows().map(row -> row.load().outstanding()))
                .as(describe())
                .allMatch(outstanding -> outstanding == 0);
    }

    private void begin(int seed) {
        random = new Random(seed);
        router = new RouterHarness(Placement.byAffinity(), limitsWithShortPause());
        deadlines.clear();
        ends.clear();
        left.clear();
        unanswered.clear();
        history.clear();
        history.add("seed=" + seed);
        seen = 0;
        router.receive(new RouterInput.KeeperUp(RouterHarness.OTHER_KEEPER));
        router.receive(new RouterInput.EndpointsListed(ENDPOINTS.stream().map(this::row).toList()));
    }

    /** Returns the gateway's limits, with a pause that ends within the timeouts of the requests. */
    private static RouterLimits limitsWithShortPause() {
        RouterLimits usual = RouterLimits.colocatedWithKeeper(56, 200, 10_000);
        return new RouterLimits(
                usual.maxEndpointsPerVersion(),
                usual.maxOpenRequests(),
                usual.maxQueuedRequests(),
                usual.maxAttempts(),
                usual.reserveTimeoutMillis(),
                usual.firstTokenTimeoutMillis(),
                usual.stallTimeoutMillis(),
                usual.usageHoldTimeoutMillis(),
                100,
                usual.retryPermille(),
                usual.moveReportIntervalMillis(),
                usual.retryBurst(),
                usual.registryGraceMillis(),
                usual.lenderTimeoutMillis(),
                usual.retryWindowMillis());
    }

    private void act() {
        int choice = random.nextInt(100);
        if (choice < 10) {
            receive(arrival());
        } else if (choice < 25) {
            answerOutput();
        } else if (choice < 55) {
            pick(router.world.attempts().where(attempt -> !isMute(attempt)))
                    .ifPresent(attempt -> receive(answer(attempt)));
        } else if (choice < 65) {
            pick(router.world.requests().rows().map(row -> row.spec().id()).toList())
                    .ifPresent(id -> receive(callerAct(id)));
        } else if (choice < 77) {
            change();
        }
    }

    /** Plays a change of the configuration or the fleet, which must end no running answer. */
    private void change() {
        Set<RequestId> running =
                router
                        .world
                        .requests()
                        .where(row -> row.stage() == RequestRow.Stage.RUNNING)
                        .stream()
                        .filter(row -> row.spec().deadlineMillis() > router.nowMillis())
                        .map(row -> row.spec().id())
                        .collect(Collectors.toSet());
        receive(pick(changes()).orElseThrow().get());
        assertThat(running).as(describe()).allMatch(id -> router.world.requests().has(id));
    }

    private List<Supplier<RouterInput>> changes() {
        return List.of(
                () ->
                        new RouterInput.EndpointsListed(
                                ENDPOINTS.stream()
                                        .filter(name -> random.nextBoolean())
                                        .map(this::row)
                                        .toList()),
                () -> new RouterInput.EndpointsListed(List.of()),
                () -> new RouterInput.EndpointsListed(ENDPOINTS.stream().map(this::row).toList()),
                () -> new RouterInput.EndpointWithdrawn(endpoint()),
                () -> new RouterInput.EndpointReplaced(endpoint()),
                () -> new RouterInput.EndpointAnnounced(row(pick(ENDPOINTS).orElseThrow())),
                () -> new RouterInput.EndpointLeaving(endpoint()),
                () -> new RouterInput.EndpointPaused(endpoint(), 300),
                () -> new RouterInput.RateLimitObserved(endpoint(), Optional.of(2.0)),
                () -> new RouterInput.RateLimitObserved(endpoint(), Optional.empty()),
                () -> new RouterInput.KeeperDown(new RandomReplies(random).keeper()),
                () -> new RouterInput.KeeperUp(new RandomReplies(random).keeper()),
                () -> new RouterInput.RoutersCounted(1 + random.nextInt(4)),
                () -> new RouterInput.ConfigurationReceived(configuration()),
                () -> new RouterInput.RegistryReachabilityReported(random.nextBoolean()),
                () ->
                        new RouterInput.RolloutOrdered(
                                new RolloutOrder("seilhelfer", Version.of("v2"), ++count, 1_000)));
    }

    private RouterInput arrival() {
        count++;
        RequestId id = RequestId.of("request-" + count);
        long timeoutMillis = 200 + random.nextInt((int) LONGEST_TIMEOUT_MILLIS - 200);
        RequestKey key = RequestKey.of(router.nowMillis(), count);
        deadlines.put(id, router.nowMillis() + timeoutMillis);
        if (random.nextInt(3) == 0) {
            return new RouterInput.CallArrived(
                    new Call(
                            id,
                            key,
                            "host",
                            "/route/",
                            Optional.empty(),
                            100,
                            50,
                            0,
                            0,
                            List.of(),
                            "fingerprint-" + count,
                            router.nowMillis(),
                            router.nowMillis(),
                            router.nowMillis(),
                            timeoutMillis));
        }
        return new RouterInput.RequestArrived(
                new RequestSpec(
                        id,
                        key,
                        true,
                        RouterHarness.BUDGET,
                        route(),
                        100,
                        50,
                        7,
                        router.nowMillis() + timeoutMillis,
                        new RequestTraits(50, List.of(), 0, random.nextBoolean())));
    }

    private Configuration configuration() {
        return new Configuration(
                ++count, List.of(), random.nextBoolean() ? List.of(route()) : List.of());
    }

    private RouteRow route() {
        boolean isChat = random.nextBoolean();
        RouteOptions options =
                new RouteOptions(
                        Optional.of("host"),
                        true,
                        random.nextBoolean(),
                        random.nextBoolean(),
                        true,
                        random.nextBoolean(),
                        1 + random.nextInt(3),
                        random.nextInt(3),
                        random.nextBoolean() ? 0 : 500 + random.nextInt(1_000),
                        random.nextBoolean() ? 0 : 400,
                        List.of(),
                        isChat ? Optional.of(2_000L) : Optional.empty());
        return new RouteRow(
                RouteName.of("route"),
                isChat ? RouteKind.CHAT : RouteKind.SERVICE,
                "/route/",
                isChat ? "seilhelfer" : "ordnerei",
                random.nextBoolean(),
                100,
                List.of(),
                Optional.of(options));
    }

    private RouterInput answer(AttemptRow attempt) {
        long position = attempt.nextPosition();
        List<RouterInput> answers =
                List.of(
                        new RouterInput.TokensArrived(attempt.id(), position, 1, "word "),
                        new RouterInput.TokensArrived(
                                attempt.id(), position, 1, "word ", random.nextBoolean()),
                        new RouterInput.TokensArrived(attempt.id(), position + 2, 1, "word "),
                        new RouterInput.AnswerEnded(attempt.id(), position, "stop"),
                        new RouterInput.AnswerEnded(attempt.id(), position + 1, "stop"),
                        new RouterInput.ServiceAnswered(attempt.id(), 200, "done"),
                        new RouterInput.ServiceAnswered(attempt.id(), 500, "failed"),
                        new AttemptFailed(
                                attempt.id(), any(RunState.values()), "failed", anyCause()),
                        new RouterInput.OutputFailed(
                                new RouterOutput.StartAttempt(
                                        attempt.id(), attempt.request(), attempt.endpoint(), 0),
                                "not handled"));
        return pick(answers).orElseThrow();
    }

    private static boolean isMute(AttemptRow attempt) {
        return attempt.paused() || attempt.id().hashCode() % 3 == 0;
    }

    private RouterInput callerAct(RequestId id) {
        List<RouterInput> acts =
                List.of(
                        new RouterInput.CallerPaused(id, true),
                        new RouterInput.CallerPaused(id, false),
                        new RouterInput.CallerDisconnected(id),
                        new RouterInput.OutputFailed(
                                new RouterOutput.DeliverTokens(id, "word "), "not handled"));
        RouterInput act = pick(acts).orElseThrow();
        if (act instanceof RouterInput.CallerDisconnected) {
            left.add(id);
        }
        return act;
    }

    /** Answers one message to a keeper or one probe; the others wait, perhaps for ever. */
    private void answerOutput() {
        if (!unanswered.isEmpty()) {
            new RandomReplies(random)
                    .replyTo(unanswered.remove(random.nextInt(unanswered.size())))
                    .ifPresent(this::receive);
        }
    }

    private void receive(RouterInput input) {
        history.add((router.nowMillis() % 1_000_000) + " " + input);
        router.receive(input);
        readOutputs();
    }

    private void readOutputs() {
        List<RouterOutput> outputs = router.outputs(RouterOutput.class);
        List<RouterOutput> fresh = List.copyOf(outputs.subList(seen, outputs.size()));
        seen = outputs.size();
        for (RouterOutput output : fresh) {
            if (output instanceof RouterOutput.FinishAnswer finished) {
                end(finished.request(), output);
            } else if (output instanceof RouterOutput.DeliverServiceAnswer delivered) {
                end(delivered.request(), output);
            } else if (output instanceof RouterOutput.Refuse refused) {
                end(refused.request(), output);
            } else if (output instanceof RouterOutput.DeliverTokens delivered) {
                assertThat(hasEnded(delivered.request())).as(describe()).isFalse();
            } else if (output instanceof RouterOutput.ToKeeper
                    || output instanceof RouterOutput.ProbeEndpoint) {
                unanswered.add(output);
            }
        }
    }

    private void end(RequestId id, RouterOutput output) {
        history.add((router.nowMillis() % 1_000_000) + " -> " + output);
        assertThat(hasEnded(id)).as(describe()).isFalse();
        assertThat(router.nowMillis())
                .as(describe())
                .isLessThanOrEqualTo(deadlines.get(id) + STEP_MILLIS);
        ends.put(id, router.nowMillis());
    }

    private boolean hasEnded(RequestId id) {
        return ends.containsKey(id) || left.contains(id);
    }

    /** Lets all deadlines pass without a sign of life, then lets keepers hold all usage. */
    private void settleAll() {
        router.receive(new RouterInput.KeeperUp(RouterHarness.KEEPER));
        for (long passed = 0; passed < LONGEST_TIMEOUT_MILLIS + 1_000; passed += STEP_MILLIS) {
            router.advance(STEP_MILLIS);
            readOutputs();
        }
        List<RequestKey> keys =
                router.world.settlements().rows().map(row -> row.usage().key()).toList();
        keys.forEach(key -> receive(new RouterInput.UsageDurable(key)));
    }

    private EndpointRow row(String name) {
        return RouterHarness.endpoint(name).withSlots(2);
    }

    private EndpointId endpoint() {
        return EndpointId.of(pick(ENDPOINTS).orElseThrow());
    }

    private AttemptFailed.Cause anyCause() {
        return any(AttemptFailed.Cause.values());
    }

    private <T> T any(T[] values) {
        return values[random.nextInt(values.length)];
    }

    private <T> Optional<T> pick(List<T> values) {
        return values.isEmpty()
                ? Optional.empty()
                : Optional.of(values.get(random.nextInt(values.size())));
    }

    private String describe() {
        return String.join("\n", history.subList(Math.max(0, history.size() - 25), history.size()))
                + "\n"
                + history.get(0);
    }

    private static int compare(RequestId first, RequestId second) {
        return first.toString().compareTo(second.toString());
    }
}

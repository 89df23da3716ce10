package org.bramleylatch.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.HdrHistogram.Histogram;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.EndpointRow;
import org.bramleylatch.core.Placement;
import org.bramleylatch.core.RequestId;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RequestSpec;
import org.bramleylatch.core.RouteName;
import org.bramleylatch.core.RouteRow;
import org.bramleylatch.core.Version;
import org.bramleylatch.core.Zone;
import org.bramleylatch.fakes.VirtualTime;

/**
 * Simulates routers with one placement and modelled engines in virtual time. A router's view of an
 * engine consists of what the router itself sent and of the engine's reports, which arrive half a
 * second late.
 */
final class PlacementSimulation {
    private static final int ENGINES = 8;
    private static final int ROUTERS = 4;
    private static final long MEMORY_TOKENS = 80_000;
    private static final long REPORT_INTERVAL_MILLIS = 500;
    private static final long SIMULATED_SECONDS = 240;
    private static final long WARM_UP_MILLIS = 60_000;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final int MAX_QUEUED = 60;
    private static final int LONG_REQUEST_PERCENT = 30;
    private static final Zone ZONE = Zone.of("langnau");
    private static final RouteRow ROUTE = RouteRow.chat(RouteName.of("chat"), "m", "seilhelfer");

    private final VirtualTime time = VirtualTime.startingAt(0);
    private final Placement placement;
    private final double requestsPerSecond;
    private final Random random;
    private final List<EngineModel> engines = new ArrayList<>();
    private final List<Map<EndpointId, EndpointRow>> endpointsByRouter = new ArrayList<>();
    private final List<Queue<QueuedRequest>> queueByRouter = new ArrayList<>();
    private final Histogram firstToken = new Histogram(3);
    private long answeredInTimeCount;
    private long cachedPromptCount;
    private long promptCount;
    private long requestCount;

    PlacementSimulation(Placement placement, double requestsPerSecond, long seed) {
        this.placement = placement;
        this.requestsPerSecond = requestsPerSecond;
        this.random = new Random(seed);
    }

    Result run() {
        for (int engine = 0; engine < ENGINES; engine++) {
            engines.add(new EngineModel(time, MEMORY_TOKENS));
        }
        for (int router = 0; router < ROUTERS; router++) {
            Map<EndpointId, EndpointRow> endpoints = new HashMap<>();
            for (int engine = 0; engine < ENGINES; engine++) {
                EndpointId id = endpointId(engine);
                endpoints.put(
                        id,
                        EndpointRow.of(id, "seilhelfer", ZONE, Version.of("v1"), MEMORY_TOKENS));
            }
            endpointsByRouter.add(endpoints);
            queueByRouter.add(new ArrayDeque<>());
        }
        time.runAfter(REPORT_INTERVAL_MILLIS, this::sendReports);
        scheduleNextArrival();
        time.advance(SIMULATED_SECONDS * 1_000);
        long maxWorstCaseTokens =
                engines.stream().mapToLong(EngineModel::maxWorstCaseTokens).max().orElse(0);
        return new Result(
                firstToken.getValueAtPercentile(50),
                firstToken.getValueAtPercentile(95),
                firstToken.getValueAtPercentile(99),
                promptCount == 0 ? 0 : cachedPromptCount / (double) promptCount,
                answeredInTimeCount / (SIMULATED_SECONDS - WARM_UP_MILLIS / 1_000.0),
                maxWorstCaseTokens <= MEMORY_TOKENS);
    }

    private void scheduleNextArrival() {
        double delaySeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
        time.runAfter(Math.round(delaySeconds * 1_000), this::handleArrival);
    }

    private void handleArrival() {
        scheduleNextArrival();
        requestCount++;
        boolean isLong = random.nextInt(100) < LONG_REQUEST_PERCENT;
        long promptTokens = isLong ? 3_000 : 300;
        long prefix = isLong ? random.nextInt(40) : 1_000 + random.nextInt(60);
        long answerTokens = isLong ? 150 + random.nextInt(150) : 40 + random.nextInt(80);
        RequestSpec spec =
                new RequestSpec(
                        RequestId.of("r" + requestCount),
                        RequestKey.of(time.nowMillis(), random.nextLong()),
                        false,
                        BudgetId.of("b"),
                        ROUTE,
                        promptTokens,
                        isLong ? 300 : 120,
                        prefix * 2_654_435_761L,
                        0);
        int router = random.nextInt(ROUTERS);
        // A request that finds the queue full is dropped.
        if (queueByRouter.get(router).size() < MAX_QUEUED) {
            queueByRouter.get(router).add(new QueuedRequest(spec, answerTokens, time.nowMillis()));
            startQueued(router);
        }
    }

    /** Sends the queued requests in their order until one finds no endpoint. */
    private void startQueued(int router) {
        Queue<QueuedRequest> queue = queueByRouter.get(router);
        while (!queue.isEmpty() && tryPlace(router, queue.peek())) {
            queue.remove();
        }
    }

    private boolean tryPlace(int router, QueuedRequest queued) {
        Map<EndpointId, EndpointRow> endpoints = endpointsByRouter.get(router);
        long neededTokens = queued.spec.worstCaseTokens();
        List<EndpointRow> candidates = new ArrayList<>();
        for (int engine = 0; engine < ENGINES; engine++) {
            Optional.of(endpoints.get(endpointId(engine)))
                    .filter(row -> row.hasCapacityFor(neededTokens, 1))
                    .ifPresent(candidates::add);
        }
        Optional<EndpointRow> chosen = placement.choose(queued.spec, ZONE, candidates);
        return chosen.isPresent() && trySend(router, queued, chosen.get());
    }

    private boolean trySend(int router, QueuedRequest queued, EndpointRow endpoint) {
        Map<EndpointId, EndpointRow> endpoints = endpointsByRouter.get(router);
        long neededTokens = queued.spec.worstCaseTokens();
        EngineModel engine = engines.get(Integer.parseInt(endpoint.id().value()));
        boolean isAccepted =
                engine.tryAccept(
                        queued.spec,
                        queued.answerTokens,
                        new RequestTracker(router, queued, endpoint));
        if (isAccepted) {
            endpoints.put(
                    endpoint.id(),
                    endpoints
                            .get(endpoint.id())
                            .requestSent(neededTokens, queued.spec.promptTokens()));
        } else {
            endpoints.put(
                    endpoint.id(),
                    endpoints.get(endpoint.id()).tokensReported(engine.worstCaseTokens()));
        }
        return isAccepted;
    }

    private void sendReports() {
        for (int engine = 0; engine < ENGINES; engine++) {
            long worstCaseTokens = engines.get(engine).worstCaseTokens();
            EndpointId id = endpointId(engine);
            time.runAfter(
                    REPORT_INTERVAL_MILLIS,
                    () ->
                            endpointsByRouter.forEach(
                                    rows ->
                                            rows.put(
                                                    id,
                                                    rows.get(id).tokensReported(worstCaseTokens))));
        }
        for (int router = 0; router < ROUTERS; router++) {
            startQueued(router);
        }
        time.runAfter(REPORT_INTERVAL_MILLIS, this::sendReports);
    }

    private static EndpointId endpointId(int engine) {
        return EndpointId.of(Integer.toString(engine));
    }

    private record QueuedRequest(RequestSpec spec, long answerTokens, long arrivedMillis) {}

    /** Updates a router's view of an engine with the progress of one request. */
    private final class RequestTracker implements EngineModel.RequestListener {
        private final int router;
        private final QueuedRequest queued;
        private final EndpointRow endpoint;
        private boolean hasFirstToken;

        RequestTracker(int router, QueuedRequest queued, EndpointRow endpoint) {
            this.router = router;
            this.queued = queued;
            this.endpoint = endpoint;
        }

        @Override
        public void prefillStarted(boolean isPrefixCached) {
            promptCount++;
            cachedPromptCount += isPrefixCached ? 1 : 0;
        }

        @Override
        public void tokenGenerated() {
            if (!hasFirstToken && queued.arrivedMillis >= WARM_UP_MILLIS) {
                firstToken.recordValue(time.nowMillis() - queued.arrivedMillis);
            }
            if (!hasFirstToken) {
                updateEndpoint(row -> row.firstTokenReceived(queued.spec.promptTokens()));
            }
            hasFirstToken = true;
        }

        private void updateEndpoint(UnaryOperator<EndpointRow> change) {
            Map<EndpointId, EndpointRow> endpoints = endpointsByRouter.get(router);
            endpoints.put(endpoint.id(), change.apply(endpoints.get(endpoint.id())));
        }

        @Override
        public void answerEnded() {
            updateEndpoint(row -> row.requestEnded(queued.spec.worstCaseTokens(), 0));
            boolean isInTime = time.nowMillis() - queued.arrivedMillis <= DEADLINE_MILLIS;
            answeredInTimeCount += isInTime && time.nowMillis() >= WARM_UP_MILLIS ? 1 : 0;
            startQueued(router);
        }
    }

    /**
     * Holds the result of one simulation. The percentiles are of the time to the first token.
     *
     * @param cacheHitShare the fraction of prompts whose prefix was cached
     * @param goodputPerSecond the answers per second that were complete within 20 s
     * @param isWithinMemory true if no engine ever exceeded its memory
     */
    record Result(
            long p50Millis,
            long p95Millis,
            long p99Millis,
            double cacheHitShare,
            double goodputPerSecond,
            boolean isWithinMemory) {}
}

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
 * Runs routers with one placement against model engines in virtual time. Each router knows what it
 * sent itself and what the engines last reported, half a second late.
 */
final class PlacementRun {
    private static final int ENGINES = 8;
    private static final int ROUTERS = 4;
    private static final long MEMORY_TOKENS = 80_000;
    private static final long REPORT_MILLIS = 500;
    private static final long SECONDS = 240;
    private static final long WARM_UP_MILLIS = 60_000;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final int MOST_QUEUED = 60;
    private static final int LONG_PERCENT = 30;
    private static final Zone ZONE = Zone.of("langnau");
    private static final RouteRow ROUTE = RouteRow.chat(RouteName.of("chat"), "m", "seilhelfer");

    private final VirtualTime time = VirtualTime.startingAt(0);
    private final Placement placement;
    private final double perSecond;
    private final Random random;
    private final List<EngineModel> engines = new ArrayList<>();
    private final List<Map<EndpointId, EndpointRow>> views = new ArrayList<>();
    private final List<Queue<Waiting>> queues = new ArrayList<>();
    private final Histogram firstToken = new Histogram(3);
    private long good;
    private long cached;
    private long read;
    private long count;

    PlacementRun(Placement placement, double perSecond, long seed) {
        this.placement = placement;
        this.perSecond = perSecond;
        this.random = new Random(seed);
    }

    Result run() {
        for (int engine = 0; engine < ENGINES; engine++) {
            engines.add(new EngineModel(time, MEMORY_TOKENS));
        }
        for (int router = 0; router < ROUTERS; router++) {
            Map<EndpointId, EndpointRow> view = new HashMap<>();
            for (int engine = 0; engine < ENGINES; engine++) {
                EndpointId id = id(engine);
                view.put(
                        id,
                        EndpointRow.of(id, "seilhelfer", ZONE, Version.of("v1"), MEMORY_TOKENS));
            }
            views.add(view);
            queues.add(new ArrayDeque<>());
        }
        time.runAfter(REPORT_MILLIS, this::report);
        arriveLater();
        time.advance(SECONDS * 1_000);
        long most = engines.stream().mapToLong(EngineModel::mostHeldTokens).max().orElse(0);
        return new Result(
                firstToken.getValueAtPercentile(50),
                firstToken.getValueAtPercentile(95),
                firstToken.getValueAtPercentile(99),
                read == 0 ? 0 : cached / (double) read,
                good / (SECONDS - WARM_UP_MILLIS / 1_000.0),
                most <= MEMORY_TOKENS);
    }

    private void arriveLater() {
        double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
        time.runAfter(Math.round(seconds * 1_000), this::arrive);
    }

    private void arrive() {
        arriveLater();
        count++;
        boolean isLong = random.nextInt(100) < LONG_PERCENT;
        long prompt = isLong ? 3_000 : 300;
        long prefix = isLong ? random.nextInt(40) : 1_000 + random.nextInt(60);
        long answer = isLong ? 150 + random.nextInt(150) : 40 + random.nextInt(80);
        RequestSpec spec =
                new RequestSpec(
                        RequestId.of("r" + count),
                        RequestKey.of(time.nowMillis(), random.nextLong()),
                        false,
                        BudgetId.of("b"),
                        ROUTE,
                        prompt,
                        isLong ? 300 : 120,
                        prefix * 2_654_435_761L,
                        0);
        int router = random.nextInt(ROUTERS);
        if (queues.get(router).size() < MOST_QUEUED) {
            queues.get(router).add(new Waiting(spec, answer, time.nowMillis()));
            serve(router);
        }
    }

    private void serve(int router) {
        Queue<Waiting> queue = queues.get(router);
        while (!queue.isEmpty() && place(router, queue.peek())) {
            queue.remove();
        }
    }

    private boolean place(int router, Waiting waiting) {
        Map<EndpointId, EndpointRow> view = views.get(router);
        long need = waiting.spec.worstCaseTokens();
        List<EndpointRow> roomy = new ArrayList<>();
        for (int engine = 0; engine < ENGINES; engine++) {
            Optional.of(view.get(id(engine)))
                    .filter(e -> e.hasCapacityFor(need))
                    .ifPresent(roomy::add);
        }
        Optional<EndpointRow> chosen = placement.choose(waiting.spec, ZONE, roomy);
        return chosen.isPresent() && start(router, waiting, chosen.get());
    }

    private boolean start(int router, Waiting waiting, EndpointRow endpoint) {
        Map<EndpointId, EndpointRow> view = views.get(router);
        long need = waiting.spec.worstCaseTokens();
        EngineModel engine = engines.get(Integer.parseInt(endpoint.id().value()));
        boolean taken =
                engine.start(waiting.spec, waiting.answer, new Answer(router, waiting, endpoint));
        if (taken) {
            view.put(
                    endpoint.id(),
                    view.get(endpoint.id()).requestSent(need, waiting.spec.promptTokens()));
        } else {
            view.put(endpoint.id(), view.get(endpoint.id()).tokensReported(engine.heldTokens()));
        }
        return taken;
    }

    private void report() {
        for (int engine = 0; engine < ENGINES; engine++) {
            long held = engines.get(engine).heldTokens();
            EndpointId id = id(engine);
            time.runAfter(
                    REPORT_MILLIS,
                    () -> views.forEach(v -> v.put(id, v.get(id).tokensReported(held))));
        }
        for (int router = 0; router < ROUTERS; router++) {
            serve(router);
        }
        time.runAfter(REPORT_MILLIS, this::report);
    }

    private static EndpointId id(int engine) {
        return EndpointId.of(Integer.toString(engine));
    }

    private record Waiting(RequestSpec spec, long answer, long arrivedMillis) {}

    /** Follows one request at its engine. */
    private final class Answer implements EngineModel.Caller {
        private final int router;
        private final Waiting waiting;
        private final EndpointRow endpoint;
        private boolean begun;

        Answer(int router, Waiting waiting, EndpointRow endpoint) {
            this.router = router;
            this.waiting = waiting;
            this.endpoint = endpoint;
        }

        @Override
        public void read(boolean wasCached) {
            read++;
            cached += wasCached ? 1 : 0;
        }

        @Override
        public void token() {
            if (!begun && waiting.arrivedMillis >= WARM_UP_MILLIS) {
                firstToken.recordValue(time.nowMillis() - waiting.arrivedMillis);
            }
            if (!begun) {
                update(row -> row.firstTokenReceived(waiting.spec.promptTokens()));
            }
            begun = true;
        }

        private void update(UnaryOperator<EndpointRow> change) {
            Map<EndpointId, EndpointRow> view = views.get(router);
            view.put(endpoint.id(), change.apply(view.get(endpoint.id())));
        }

        @Override
        public void end() {
            update(row -> row.requestEnded(waiting.spec.worstCaseTokens(), 0));
            boolean inTime = time.nowMillis() - waiting.arrivedMillis <= DEADLINE_MILLIS;
            good += inTime && time.nowMillis() >= WARM_UP_MILLIS ? 1 : 0;
            serve(router);
        }
    }

    /**
     * Tells how a run went.
     *
     * @param hitShare the part of prompts whose prefix was cached
     * @param goodPerSecond answers that were whole within 20 s, a second
     * @param withinMemory true if no engine was ever over its memory
     */
    record Result(
            long p50Millis,
            long p95Millis,
            long p99Millis,
            double hitShare,
            double goodPerSecond,
            boolean withinMemory) {}
}

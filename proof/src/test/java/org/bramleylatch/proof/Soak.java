package org.bramleylatch.proof;

import com.google.common.base.Joiner;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.bramleylatch.bench.Await;
import org.bramleylatch.platform.LoopbackStore;

/** Plays a plan against a gateway process, and collects what is wrong with the requests' ends. */
final class Soak implements AutoCloseable {
    private static final long TICK_MILLIS = 5;
    private static final long SETTLE_TIMEOUT_MILLIS = 30_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final LoopbackStore store = LoopbackStore.start(vertx).join();
    private final SoakWorld world;
    private final SoakProcess process;
    private final SoakEndpoints endpoints;
    private final SoakCallers callers;
    private final SoakJudge judge;
    private final Deque<SoakPlan.Step> plan = new ArrayDeque<>();
    private final List<LongConsumer> systems;
    private Map<String, List<Buffer>> storeCopy = Map.of();
    private long lastTickMillis;
    private long maxGapMillis;

    Soak(long seed, Path folder, SoakCallers.Habits habits, SoakEndpoints.Habits backEnds) {
        world = new SoakWorld(vertx, seed);
        process = new SoakProcess(world, folder, store.address());
        endpoints = new SoakEndpoints(world, store, backEnds);
        callers = new SoakCallers(world, process, habits);
        judge = new SoakJudge(world);
        systems = List.of(this::playSteps, endpoints::tick, callers::tick, this::endOverdue);
    }

    /**
     * Holds the counts and the findings of a soak.
     *
     * @param lost the requests whose connection hung, and ended without a status line
     * @param processes the processes in the order of their starts
     * @param copies the answers that an endpoint wrote a second time
     * @param repeatedIds the runs whose request came again over the same connection
     * @param maxGapMillis the longest time between two ticks, by which an end may be seen too late
     */
    record Result(
            int requests,
            long answered,
            List<String> findings,
            List<String> lost,
            List<SoakProcessRow> processes,
            long copies,
            long repeatedIds,
            long maxGapMillis) {

        /** Returns how long the planned stops took, in milliseconds, in their order. */
        List<Long> stopsMillis() {
            return processes.stream()
                    .filter(row -> row.stopMillis().isPresent() && row.killedMillis().isEmpty())
                    .map(row -> row.endedMillis().orElseThrow() - row.stopMillis().orElseThrow())
                    .toList();
        }
    }

    /** Plays steps for a time, lets the requests end, and stops the process. */
    Result run(List<SoakPlan.Step> steps, long millis) throws InterruptedException {
        start(steps);
        TimeUnit.MILLISECONDS.sleep(millis);
        onLoop(callers::stop);
        Await.until("all requests have ended", SETTLE_TIMEOUT_MILLIS, this::isQuiet);
        Await.until("the process is ready", SETTLE_TIMEOUT_MILLIS, process::isReady);
        Await.until("no request is open", SETTLE_TIMEOUT_MILLIS, process::hasNoOpenRequest);
        process.checkOrphans().join();
        onLoop(process::retire);
        awaitEnd();
        return onLoop(this::judgeAll);
    }

    /** Plays steps of which one retires the process; callers go on until it is gone. */
    Result runUntilEnd(List<SoakPlan.Step> steps) {
        start(steps);
        awaitEnd();
        onLoop(plan::clear);
        onLoop(callers::stop);
        Await.until("all requests have ended", SETTLE_TIMEOUT_MILLIS, this::isQuiet);
        return onLoop(this::judgeAll);
    }

    private void start(List<SoakPlan.Step> steps) {
        endpoints.start();
        onLoop(
                () -> {
                    configure(SoakConfig.first());
                    process.start();
                });
        Await.until("the process is ready", SETTLE_TIMEOUT_MILLIS, process::isReady);
        onLoop(() -> begin(steps));
    }

    private void awaitEnd() {
        Await.until(
                "the process has stopped", SETTLE_TIMEOUT_MILLIS, () -> onLoop(process::hasEnded));
    }

    private void begin(List<SoakPlan.Step> steps) {
        world.restartClock();
        plan.addAll(steps);
        String start = "times count from t=" + System.currentTimeMillis() + " of the logs\n";
        process.write("plan.txt", start + Joiner.on('\n').join(plan));
        callers.start();
        lastTickMillis = world.nowMillis();
        vertx.setPeriodic(TICK_MILLIS, timer -> tick());
    }

    private void tick() {
        long nowMillis = world.nowMillis();
        maxGapMillis = Math.max(maxGapMillis, nowMillis - lastTickMillis);
        systems.forEach(s -> s.accept(world.nowMillis()));
        lastTickMillis = nowMillis;
    }

    private void playSteps(long nowMillis) {
        while (!plan.isEmpty() && plan.peek().atMillis() <= nowMillis) {
            SoakPlan.Step step = plan.remove();
            world.setStep(step.toString());
            step.action().accept(this);
        }
    }

    private void endOverdue(long nowMillis) {
        world.requests()
                .where(request -> judge.isOverdue(request, nowMillis))
                .forEach(request -> callers.giveUp(request.id()));
    }

    private boolean isQuiet() {
        return onLoop(
                () -> plan.isEmpty() && world.requests().rows().allMatch(r -> r.end().isPresent()));
    }

    private Result judgeAll() {
        List<SoakRequest> requests =
                world.requests()
                        .rows()
                        .sorted(Comparator.comparingLong(SoakRequest::begunMillis))
                        .toList();
        requests.forEach(request -> judge.judge(request).ifPresent(world::add));
        return new Result(
                requests.size(),
                requests.stream().filter(SoakRequest::isServed).count(),
                world.findings(),
                requests.stream().filter(judge::isLost).map(judge::describe).toList(),
                world.processes()
                        .rows()
                        .sorted(Comparator.comparingInt(SoakProcessRow::number))
                        .toList(),
                world.runs().rows().filter(SoakRun::copied).count(),
                world.repeatedIds(),
                maxGapMillis);
    }

    SoakProcess process() {
        return process;
    }

    /** Publishes a configuration. */
    void configure(SoakConfig config) {
        store.putConfiguration(config.json());
        world.configurations().add(new SoakWorld.Published(world.nowMillis(), config));
    }

    void copyStore() {
        storeCopy = store.copy();
    }

    /** Brings the store back from its copy; the operator and the endpoints write again. */
    void restoreStore() {
        store.restore(storeCopy);
        List<SoakWorld.Published> configurations = world.configurations();
        store.putConfiguration(configurations.get(configurations.size() - 1).config().json());
        endpoints.registerAgain();
    }

    /** Asks the process to stop; another one follows. */
    void stopProcess() {
        process.checkOrphans();
        process.stop();
    }

    void killProcess() {
        process.checkOrphans().thenRun(process::kill);
    }

    /** Changes the endpoint that has the number, if there is one. */
    void changeEndpoint(int number, UnaryOperator<SoakEndpoint> change) {
        world.endpoints()
                .where(endpoint -> endpoint.number() == number)
                .forEach(endpoint -> endpoints.replace(change.apply(endpoint)));
    }

    @Override
    public void close() {
        process.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void onLoop(Runnable task) {
        onLoop(
                () -> {
                    task.run();
                    return true;
                });
    }

    private <T> T onLoop(Supplier<T> task) {
        return CompletableFuture.supplyAsync(
                        task, command -> vertx.runOnContext(ignored -> command.run()))
                .join();
    }
}

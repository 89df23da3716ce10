package org.bramleylatch.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/**
 * Drives the keepers of a fleet on one log in virtual time. Requests arrive at random VMs; each
 * asks the keepers that a test chooses, one after the other, until one reserves its tokens.
 */
final class KeeperFleet {
    static final int BUDGETS = 40;

    private static final long STEP_MILLIS = 20;
    private static final long ANSWER_MILLIS = 1_500;
    private static final long REQUEST_TOKENS = 8_000;
    private static final long USED_TOKENS = 6_000;
    private static final long PAID_TOKENS_OF_BUDGET = 2_200_000;
    private static final int BUDGETS_OF_LARGE_TENANTS = 4;
    private static final Incarnation ROUTER = Incarnation.of("router");
    private static final Incarnation OPERATOR = Incarnation.of("operator");

    /** Returns the VMs whose keepers a request asks, first to last. */
    @FunctionalInterface
    interface Route {
        List<String> keepersToAsk(KeeperFleet fleet, VmRow vm, BudgetId budget);
    }

    private record RunningRequest(long endMillis, RequestKey key, GrantKey grant)
            implements Comparable<RunningRequest> {
        @Override
        public int compareTo(RunningRequest other) {
            return Long.compare(endMillis, other.endMillis);
        }
    }

    private final Map<String, KeeperWorld> keepers = new TreeMap<>();
    private final Map<String, Schedule<KeeperWorld>> schedules = new TreeMap<>();
    private final Map<String, Integer> readOffsets = new HashMap<>();
    private final List<LogEntry> log = new ArrayList<>();
    private final List<VmRow> vms = new ArrayList<>();
    private final Map<RequestKey, Deque<String>> waiting = new HashMap<>();
    private final Map<RequestKey, BudgetId> budgets = new HashMap<>();
    private final PriorityQueue<RunningRequest> running = new PriorityQueue<>();
    private final Random random = new Random(17);
    private final Route route;
    private final boolean selectsHolders;
    private boolean logReachable = true;
    private int run = 1;
    private long nowMillis = 1_700_000_000_000L;
    private long requestCount;
    private int asked;
    private int refused;
    private long questions;

    /**
     * Starts a fleet with funded budgets.
     *
     * @param selectsHolders whether the keepers of the other VMs are inactive
     */
    KeeperFleet(int zones, int vmsPerZone, boolean selectsHolders, Route route) {
        this.route = route;
        this.selectsHolders = selectsHolders;
        for (int zone = 0; zone < zones; zone++) {
            for (int index = 0; index < vmsPerZone; index++) {
                vms.add(new VmRow("vm" + zone + "x" + index, Zone.of("zone-" + zone), 360));
            }
        }
        for (int index = 0; index < BUDGETS; index++) {
            append(OPERATOR, index + 1, new LedgerRecord.BudgetFunded(budget(index), paid(index)));
        }
        startAll();
    }

    private void startAll() {
        HolderSelection holders = HolderSelection.among(vms);
        vms.forEach(vm -> start(vm.vm(), !selectsHolders || holders.contains(vm.vm())));
    }

    /** Ends all keepers and their requests; the next runs start after the given time. */
    void losePower(long darkMillis) {
        running.clear();
        waiting.clear();
        nowMillis += darkMillis;
        run++;
        startAll();
    }

    /** Returns the tokens of holders that have ended, which nobody can use, as a share of all. */
    double frozenShare() {
        Ledger ledger = keepers.values().iterator().next().ledger();
        long frozenTokens =
                ledger.grants()
                        .rows()
                        .filter(GrantRow::frozen)
                        .mapToLong(GrantRow::openTokens)
                        .sum();
        long paidTokens = ledger.budgets().rows().mapToLong(BudgetRow::paidTokens).sum();
        return (double) frozenTokens / paidTokens;
    }

    /** Returns the share of the paid tokens that requests ask for in the given time. */
    static double demandedShare(long millis, int requestsPerSecond) {
        long paidTokens = 0;
        for (int index = 0; index < BUDGETS; index++) {
            paidTokens += paid(index);
        }
        return REQUEST_TOKENS * requestsPerSecond * millis / 1_000.0 / paidTokens;
    }

    List<VmRow> vms() {
        return vms;
    }

    /** Lets requests arrive at the given rate. */
    void run(long millis, int requestsPerSecond) {
        long endMillis = nowMillis + millis;
        double due = 0;
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            finishRequests();
            for (due += requestsPerSecond * STEP_MILLIS / 1_000.0; due >= 1; due--) {
                arrive();
            }
            keepers.keySet().forEach(this::tick);
        }
    }

    /** Cuts all keepers off from the log, or connects them again. */
    void setLogReachable(boolean reachable) {
        logReachable = reachable;
        keepers.values()
                .forEach(
                        world ->
                                world.inbox()
                                        .add(
                                                new KeeperInput.FromLog(
                                                        new LogUpdate.ReachabilityReported(
                                                                reachable))));
    }

    /** Forgets the requests counted so far. */
    void resetCounts() {
        asked = 0;
        refused = 0;
        questions = 0;
    }

    double refusedShare() {
        return (double) refused / asked;
    }

    double questionsPerRequest() {
        return (double) questions / asked;
    }

    /** Returns how many keepers hold a grant of the budget. */
    long partsOf(int index) {
        return keepers.values().stream()
                .filter(world -> world.openTokens(budget(index)) > 0)
                .count();
    }

    /** Returns the most that any budget has reserved or used, as a share of what was paid. */
    double largestSpentShare() {
        double largest = 0;
        for (int index = 0; index < BUDGETS; index++) {
            BudgetId budget = budget(index);
            long committed =
                    keepers.values().stream()
                            .mapToLong(world -> world.openTokens(budget) - world.idleTokens(budget))
                            .sum();
            long settled =
                    keepers.values().stream()
                            .mapToLong(
                                    world ->
                                            world.ledger()
                                                    .budgets()
                                                    .find(budget)
                                                    .map(BudgetRow::settledTokens)
                                                    .orElse(0L))
                            .max()
                            .orElse(0);
            largest = Math.max(largest, (double) (committed + settled) / paid(index));
        }
        return largest;
    }

    private void start(String vm, boolean selected) {
        KeeperWorld world = KeeperWorld.of(Incarnation.of("keeper@" + vm + "-" + run));
        keepers.put(vm, world);
        schedules.put(
                vm,
                KeeperSystems.schedule(
                        GrantPolicy.byShortTermDemand(9_000, 10_000),
                        KeeperLimits.colocatedWithRouter(20_000),
                        FailureHandler.rethrowing()));
        readOffsets.put(vm, 0);
        world.inbox().add(new KeeperInput.ProcessStarted(nowMillis, nowMillis));
        world.inbox().add(new KeeperInput.HolderSelected(selected));
        deliver(vm);
        world.inbox().add(new KeeperInput.FromLog(new LogUpdate.CaughtUp()));
        tick(vm);
    }

    private void arrive() {
        VmRow vm = vms.get(random.nextInt(vms.size()));
        int index =
                random.nextBoolean()
                        ? random.nextInt(BUDGETS_OF_LARGE_TENANTS)
                        : random.nextInt(BUDGETS);
        BudgetId budget = budget(index);
        requestCount++;
        asked++;
        RequestKey key = RequestKey.of(nowMillis, requestCount);
        budgets.put(key, budget);
        waiting.put(key, new ArrayDeque<>(route.keepersToAsk(this, vm, budget)));
        askNext(key, budget, false);
    }

    private void askNext(RequestKey key, BudgetId budget, boolean borrowed) {
        Deque<String> remaining = waiting.get(key);
        if (remaining.isEmpty()) {
            refused++;
            waiting.remove(key);
            return;
        }
        questions++;
        String vm = remaining.remove();
        keepers.get(vm)
                .inbox()
                .add(new KeeperInput.ReserveAsked(ROUTER, key, budget, REQUEST_TOKENS, borrowed));
        tick(vm);
    }

    private void handle(KeeperOutput output) {
        if (output instanceof KeeperOutput.ReserveGranted granted) {
            waiting.remove(granted.key());
            running.add(
                    new RunningRequest(nowMillis + ANSWER_MILLIS, granted.key(), granted.grant()));
        } else if (output instanceof KeeperOutput.ReserveRefused refusal) {
            askNext(refusal.key(), budgets.get(refusal.key()), true);
        }
    }

    private void finishRequests() {
        while (!running.isEmpty() && running.peek().endMillis() <= nowMillis) {
            RunningRequest ended = running.remove();
            keepers.values().stream()
                    .filter(world -> world.self().equals(ended.grant().holder()))
                    .forEach(
                            world ->
                                    world.inbox()
                                            .add(
                                                    new KeeperInput.UsageSubmitted(
                                                            ROUTER,
                                                            ended.grant(),
                                                            Usage.of(ended.key(), USED_TOKENS))));
        }
    }

    private void tick(String vm) {
        KeeperWorld world = keepers.get(vm);
        if (logReachable) {
            deliver(vm);
        }
        schedules.get(vm).tick(world, nowMillis);
        List<KeeperOutput> outputs = world.outbox().take(Integer.MAX_VALUE);
        outputs.forEach(this::handle);
        if (logReachable) {
            outputs.stream()
                    .filter(KeeperOutput.AppendBatch.class::isInstance)
                    .map(KeeperOutput.AppendBatch.class::cast)
                    .flatMap(batch -> batch.records().stream())
                    .forEach(record -> append(world.self(), record.sequence(), record.record()));
        }
    }

    private void deliver(String vm) {
        int offset = readOffsets.get(vm);
        if (offset < log.size()) {
            List<LogEntry> unread = List.copyOf(log.subList(offset, log.size()));
            keepers.get(vm).inbox().add(new KeeperInput.FromLog(new LogUpdate.EntriesRead(unread)));
            readOffsets.put(vm, log.size());
        }
    }

    private void append(Incarnation writer, long sequence, LedgerRecord record) {
        log.add(new LogEntry(log.size(), nowMillis, writer, sequence, record));
    }

    /** Large tenants have paid for their larger part of the requests. */
    private static long paid(int index) {
        return index < BUDGETS_OF_LARGE_TENANTS ? 6 * PAID_TOKENS_OF_BUDGET : PAID_TOKENS_OF_BUDGET;
    }

    private static BudgetId budget(int index) {
        return BudgetId.of("tenant-" + index);
    }
}

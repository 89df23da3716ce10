package org.bramleylatch.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.bramleylatch.core.AttemptId;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.EndpointId;
import org.bramleylatch.core.GrantKey;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.Ledger;
import org.bramleylatch.core.LedgerFold;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.LogEntry;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.RunState;
import org.bramleylatch.core.Usage;
import org.bramleylatch.core.Zone;
import org.bramleylatch.fakes.AppendFault;
import org.bramleylatch.fakes.BudgetOracle;
import org.bramleylatch.fakes.FakeKeeper;
import org.bramleylatch.fakes.FakeLog;
import org.bramleylatch.fakes.VirtualTime;

/**
 * Is one fleet under test: two zones with two keepers and two routers each, driven by steps. The
 * routers are plain maps; keepers are real worlds; the books are the oracle.
 */
final class FleetCase {
    static final int KEEPERS = 4;
    static final int ROUTERS = 4;
    static final int BUDGETS = 2;

    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long GIVE_AGAIN_MILLIS = 500;
    private static final long READ_MILLIS = 5;
    private static final int MOST_READS = 100;
    private static final Incarnation OPERATOR = Incarnation.of("operator");

    final VirtualTime time = VirtualTime.startingAt(START_MILLIS);
    final FakeLog log = FakeLog.of(time);
    final BudgetOracle books = new BudgetOracle();
    final List<FakeKeeper> keepers = new ArrayList<>();
    final List<RequestKey> keys = new ArrayList<>();

    private final List<Incarnation> routers = new ArrayList<>();
    private final Map<RequestKey, Running> running = new HashMap<>();
    private final Map<AttemptId, Boolean> attempts = new HashMap<>();
    private final Map<RequestKey, Given> given = new HashMap<>();
    private final Map<RequestKey, BudgetId> budgetOf = new HashMap<>();
    private final Set<RequestKey> claimsWon = new HashSet<>();
    private final Set<RequestKey> bookedTwice = new HashSet<>();
    private final Set<Zone> cut = new HashSet<>();
    private long operatorSequence;
    private long count;

    FleetCase() {
        for (int index = 0; index < KEEPERS; index++) {
            keepers.add(keeper(index));
        }
        for (int index = 0; index < ROUTERS; index++) {
            routers.add(Incarnation.of("router-" + index + "-0"));
        }
        for (int index = 0; index < BUDGETS; index++) {
            operate(new LedgerRecord.BudgetCreated(budget(index), "workspace"));
            topUp(index, 6_000);
        }
        time.runAfter(GIVE_AGAIN_MILLIS, this::giveAgain);
        time.advance(50);
    }

    void requests(int router, int budget, int number) {
        for (int index = 0; index < number; index++) {
            request(router, budget);
        }
    }

    private void request(int router, int budget) {
        RequestKey key = nextKey();
        keys.add(key);
        budgetOf.put(key, budget(budget));
        reserve(key, router);
    }

    void retry(int keyIndex, int router) {
        if (!keys.isEmpty()) {
            RequestKey key = keys.get(keyIndex % keys.size());
            reserve(key, router);
        }
    }

    void book(int keyIndex, int router) {
        RequestKey key = keys.isEmpty() ? nextKey() : keys.get(keyIndex % keys.size());
        keeperFor(router).deliver(new KeeperInput.IntentAsked(routers.get(router), key, budget(0)));
    }

    void topUp(int budget, long tokens) {
        RequestKey key = nextKey();
        LedgerRecord record = new LedgerRecord.BudgetToppedUp(budget(budget), key, tokens);
        if (operate(record)) {
            books.recordPayment(budget(budget), tokens);
            operate(record);
        }
    }

    void killRouter(int router) {
        Incarnation dead = routers.get(router);
        count++;
        routers.set(router, Incarnation.of("router-" + router + "-" + count));
        running.entrySet().stream()
                .filter(run -> run.getValue().router.equals(dead))
                .forEach(run -> books.recordUsage(run.getKey(), actual(run.getKey())));
        running.values().removeIf(run -> run.router.equals(dead));
        given.values().removeIf(usage -> usage.router.equals(dead));
        attempts.replaceAll((id, isRunning) -> isRunning && !id.value().startsWith(dead.value()));
        keepers.forEach(keeper -> keeper.deliver(new KeeperInput.RouterLost(dead)));
    }

    void killKeeper(int index) {
        keepers.get(index).kill();
        count++;
        keepers.set(index, keeper(index));
    }

    void pause(int index, boolean paused) {
        keepers.get(index).setPaused(paused);
    }

    void cut(int zone, boolean isCut) {
        if (isCut) {
            cut.add(zone(zone));
        } else {
            cut.remove(zone(zone));
        }
        keepers.forEach(keeper -> keeper.setConnected(!cut.contains(keeper.zone())));
    }

    void outage(boolean away) {
        log.setUnavailable(away);
    }

    void fault(int index, AppendFault fault) {
        keepers.get(index).addFault(fault);
    }

    void freeze(int index) {
        operate(new LedgerRecord.HolderFrozen(keepers.get(index).world().self()));
    }

    /** Forgets all records that a complete snapshot in the log stands for. */
    void expire() {
        log.allEntries().stream()
                .map(LogEntry::record)
                .filter(LedgerRecord.SnapshotPart.class::isInstance)
                .map(LedgerRecord.SnapshotPart.class::cast)
                .filter(part -> part.index() == part.count() - 1)
                .mapToLong(LedgerRecord.SnapshotPart::nextOffset)
                .max()
                .ifPresent(log::truncateBefore);
    }

    void advance(long millis) {
        time.advance(millis);
    }

    /** Ends every fault and lets the fleet settle. */
    void heal() {
        outage(false);
        cut.clear();
        keepers.forEach(keeper -> keeper.setConnected(true));
        keepers.forEach(keeper -> keeper.setPaused(false));
        time.advance(60_000);
        for (int tries = 0; tries < MOST_READS && isAnyBehind(); tries++) {
            time.advance(READ_MILLIS);
        }
    }

    private boolean isAnyBehind() {
        return keepers.stream().anyMatch(k -> k.world().ledger().nextOffset() < log.endOffset());
    }

    /** Returns the ledger that a fold over all records gives. */
    Ledger reference() {
        Ledger ledger = Ledger.empty();
        LedgerFold fold = LedgerFold.of(ledger);
        log.allEntries().forEach(fold::apply);
        return ledger;
    }

    long actual(RequestKey key) {
        return 1 + Math.floorMod(key.low(), worst(key));
    }

    BudgetId budgetOf(RequestKey key) {
        return budgetOf.get(key);
    }

    Set<RequestKey> bookedTwice() {
        return bookedTwice;
    }

    Set<RequestKey> usageNotDurable() {
        return given.keySet();
    }

    static BudgetId budget(int index) {
        return BudgetId.of("budget-" + index);
    }

    private static Zone zone(int index) {
        return Zone.of("zone-" + index);
    }

    private static long worst(RequestKey key) {
        return 300 + Math.floorMod(key.low() >>> 8, 1_500L);
    }

    private FakeKeeper keeper(int index) {
        FakeKeeper keeper =
                new FakeKeeper(
                        time,
                        log,
                        zone(index / 2),
                        Incarnation.of("keeper-" + index + "-" + count),
                        GrantPolicy.byDemand(2, 600),
                        KeeperLimits.standalone().withSnapshotEveryRecords(40).withRetryGraceMillis(1_000),
                        output -> take(index, output));
        keeper.setConnected(!cut.contains(zone(index / 2)));
        return keeper;
    }

    private void reserve(RequestKey key, int router) {
        FakeKeeper keeper = keeperFor(router);
        keeper.deliver(
                new KeeperInput.ReserveAsked(
                        routers.get(router), key, budgetOf.get(key), worst(key)));
    }

    private FakeKeeper keeperFor(int router) {
        int first = router / 2 * 2;
        return keepers.get(first + (int) (time.nowMillis() / 1_000 % 2));
    }

    private void take(int keeper, KeeperOutput output) {
        if (output instanceof KeeperOutput.ReserveGranted granted) {
            start(keeper, granted);
        } else if (output instanceof KeeperOutput.UsageDurable durable) {
            given.remove(durable.key());
        } else if (output instanceof KeeperOutput.AskEndpoint ask) {
            time.runAfter(1, () -> answer(keeper, ask));
        } else if (output instanceof KeeperOutput.IntentWon won) {
            runBooking(won);
        }
    }

    private void start(int index, KeeperOutput.ReserveGranted granted) {
        FakeKeeper keeper = keepers.get(index);
        RequestKey key = granted.key();
        if (!routers.contains(granted.router())
                || running.containsKey(key)
                || given.containsKey(key)) {
            keeper.deliver(new KeeperInput.ReservationReleased(granted.router(), key));
            return;
        }
        count++;
        AttemptId attempt = AttemptId.of(granted.router() + "/" + count);
        Running run = new Running(granted.router(), granted.grant(), attempt);
        running.put(key, run);
        attempts.put(attempt, true);
        books.recordStart(key, granted.grant(), worst(key));
        keeper.deliver(
                new KeeperInput.AttemptNoted(
                        granted.router(), key, attempt, EndpointId.of("endpoint")));
        time.runAfter(100 + Math.floorMod(key.low(), 5_000L), () -> finish(key, run));
    }

    private void finish(RequestKey key, Running run) {
        if (running.remove(key, run)) {
            attempts.put(run.attempt, false);
            books.recordUsage(key, actual(key));
            given.put(key, new Given(run.router, run.grant, Usage.of(key, actual(key))));
            give(given.get(key));
        }
    }

    private void give(Given usage) {
        int router = routers.indexOf(usage.router);
        FakeKeeper holder =
                keepers.stream()
                        .filter(k -> k.world().self().equals(usage.grant.holder()))
                        .findFirst()
                        .orElseGet(() -> keeperFor(router));
        holder.deliver(new KeeperInput.UsageGiven(usage.router, usage.grant, usage.usage));
    }

    private void giveAgain() {
        List.copyOf(given.values()).forEach(this::give);
        time.runAfter(GIVE_AGAIN_MILLIS, this::giveAgain);
    }

    private void answer(int keeper, KeeperOutput.AskEndpoint ask) {
        boolean isRunning = attempts.getOrDefault(ask.attempt(), false);
        OptionalLong tokens = isRunning ? OptionalLong.empty() : OptionalLong.of(actual(ask.key()));
        keepers.get(keeper).deliver(new KeeperInput.EndpointReported(ask.key(), tokens));
    }

    private void runBooking(KeeperOutput.IntentWon won) {
        if (routers.contains(won.router())) {
            if (!claimsWon.add(won.key())) {
                bookedTwice.add(won.key());
            }
            keeperFor(routers.indexOf(won.router()))
                    .deliver(
                            new KeeperInput.IntentEnded(
                                    won.key(), won.router(), RunState.RAN, 201, "booked"));
        }
    }

    private boolean operate(LedgerRecord record) {
        operatorSequence++;
        return log.append(OPERATOR, List.of(new SequencedRecord(operatorSequence, record)));
    }

    private RequestKey nextKey() {
        count++;
        return RequestKey.of(time.nowMillis(), count * 0x9E3779B97F4A7C15L);
    }

    private record Running(Incarnation router, GrantKey grant, AttemptId attempt) {}

    private record Given(Incarnation router, GrantKey grant, Usage usage) {}
}

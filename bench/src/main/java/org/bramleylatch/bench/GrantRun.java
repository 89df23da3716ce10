package org.bramleylatch.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bramleylatch.core.BudgetId;
import org.bramleylatch.core.GrantPolicy;
import org.bramleylatch.core.GrantRow;
import org.bramleylatch.core.Incarnation;
import org.bramleylatch.core.KeeperInput;
import org.bramleylatch.core.KeeperLimits;
import org.bramleylatch.core.KeeperOutput;
import org.bramleylatch.core.LedgerRecord;
import org.bramleylatch.core.Rendezvous;
import org.bramleylatch.core.RequestKey;
import org.bramleylatch.core.SequencedRecord;
import org.bramleylatch.core.Usage;
import org.bramleylatch.core.Zone;
import org.bramleylatch.fakes.BudgetOracle;
import org.bramleylatch.fakes.FakeKeeper;
import org.bramleylatch.fakes.FakeLog;
import org.bramleylatch.fakes.VirtualTime;
import org.bramleylatch.wire.WireEntry;

/**
 * Runs a scenario with one policy in virtual time: an hour connected, an hour with one zone cut off
 * and a top-up meanwhile, an hour healed, in which one keeper is killed.
 */
final class GrantRun {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int KEEPERS_PER_ZONE = 2;
    private static final double HOURS_PAID = 2.8;
    private static final double HOURS_TOPPED_UP = 0.4;
    private static final double ENOUGH_LEFT = 0.05;
    private static final int LONG_PERCENT = 30;
    private static final double MEAN_TOKENS = 0.3 * 3_000 + 0.7 * 500;
    private static final Incarnation OPERATOR = Incarnation.of("operator");

    private final GrantScenario scenario;
    private final Random random;
    private final VirtualTime time = VirtualTime.startingAt(START_MILLIS);
    private final FakeLog log = FakeLog.of(time);
    private final BudgetOracle books = new BudgetOracle();
    private final Map<Zone, List<FakeKeeper>> keepers = new HashMap<>();
    private final Map<RequestKey, Long> worst = new HashMap<>();
    private final Map<RequestKey, BudgetId> budgets = new HashMap<>();
    private final Set<RequestKey> arrivedInCut = new HashSet<>();
    private final List<Zone> zones = new ArrayList<>();
    private final Zone cutZone;
    private boolean cut;
    private long operatorSequence;
    private long requests;
    private boolean killed;
    private long falseCalm;
    private long falseScarce;
    private long falseCut;
    private long falseKilled;
    private long trueRefusals;
    private long overspent;
    private long appends;
    private long bytes;

    GrantRun(GrantScenario scenario, GrantPolicy policy, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        log.addObserver(this::observe);
        scenario.zones().keySet().forEach(name -> addZone(Zone.of(name), policy));
        this.cutZone = zones.get(zones.size() - 1);
    }

    GrantResult run() {
        for (int index = 0; index < scenario.workspaces().size(); index++) {
            operate(new LedgerRecord.BudgetCreated(budget(index), "workspace"));
            pay(index, HOURS_PAID);
        }
        arriveLater();
        time.advance(HOUR_MILLIS);
        setCut(true);
        time.advance(HOUR_MILLIS / 2);
        for (int index = 0; index < scenario.workspaces().size(); index++) {
            pay(index, HOURS_TOPPED_UP);
        }
        time.advance(HOUR_MILLIS / 2);
        setCut(false);
        time.advance(HOUR_MILLIS / 2);
        FakeKeeper victim = keepers.get(zones.get(0)).get(0);
        long stranded = openTokens(victim);
        victim.kill();
        killed = true;
        time.advance(HOUR_MILLIS / 2);
        return new GrantResult(
                requests,
                falseCalm,
                falseScarce,
                falseCut,
                falseKilled,
                trueRefusals,
                overspent,
                stranded,
                appends,
                bytes);
    }

    private void addZone(Zone zone, GrantPolicy policy) {
        zones.add(zone);
        List<FakeKeeper> group = new ArrayList<>();
        for (int index = 0; index < KEEPERS_PER_ZONE; index++) {
            int number = index;
            Incarnation self = Incarnation.of("keeper-" + zone + "-" + index);
            KeeperLimits limits =
                    KeeperLimits.standalone().withSnapshotEveryRecords(Integer.MAX_VALUE / 2);
            group.add(
                    new FakeKeeper(
                            time, log, zone, self, policy, limits, o -> take(zone, number, o)));
        }
        keepers.put(zone, group);
    }

    private void arriveLater() {
        double seconds = -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond();
        time.runAfter(Math.round(seconds * 1_000), this::arrive);
    }

    private void arrive() {
        arriveLater();
        Zone zone = zones.get(pick(new ArrayList<>(scenario.zones().values())));
        send(zone);
        if (cut && zone.equals(cutZone) && random.nextDouble() < scenario.cutDemandFactor() - 1) {
            send(zone);
        }
    }

    private void send(Zone zone) {
        requests++;
        BudgetId budget = budget(pick(scenario.workspaces()));
        RequestKey key = RequestKey.of(time.nowMillis(), random.nextLong());
        long tokens = 2 * actual(key);
        worst.put(key, tokens);
        budgets.put(key, budget);
        if (cut) {
            arrivedInCut.add(key);
        }
        KeeperInput ask =
                new KeeperInput.ReserveAsked(Incarnation.of("router"), key, budget, tokens);
        keeper(zone, budget).deliver(ask);
    }

    private FakeKeeper keeper(Zone zone, BudgetId budget) {
        List<FakeKeeper> alive = keepers.get(zone).stream().filter(FakeKeeper::isAlive).toList();
        Collection<Incarnation> names = alive.stream().map(k -> k.world().self()).toList();
        Incarnation first = Rendezvous.first(budget.value(), names).orElseThrow();
        return alive.stream().filter(k -> k.world().self().equals(first)).findFirst().orElseThrow();
    }

    private void take(Zone zone, int index, KeeperOutput output) {
        if (output instanceof KeeperOutput.ReserveGranted granted) {
            books.recordStart(granted.key(), granted.grant(), worst.get(granted.key()));
            BudgetId budget = granted.grant().budget();
            overspent =
                    Math.max(overspent, books.committedTokens(budget) - books.paidTokens(budget));
            time.runAfter(5_000 + random.nextInt(10_000), () -> finish(zone, index, granted));
        } else if (output instanceof KeeperOutput.ReserveRefused refused) {
            countRefusal(refused);
        }
    }

    private void finish(Zone zone, int index, KeeperOutput.ReserveGranted granted) {
        long used = actual(granted.key());
        books.recordUsage(granted.key(), used);
        FakeKeeper first = keepers.get(zone).get(index);
        FakeKeeper holder = first.isAlive() ? first : keeper(zone, granted.grant().budget());
        holder.deliver(
                new KeeperInput.UsageGiven(
                        granted.router(), granted.grant(), Usage.of(granted.key(), used)));
    }

    private void countRefusal(KeeperOutput.ReserveRefused refused) {
        BudgetId budget = budgets.get(refused.key());
        long left = books.paidTokens(budget) - books.committedTokens(budget);
        if (left < worst.get(refused.key())) {
            trueRefusals++;
        } else if (arrivedInCut.contains(refused.key())) {
            falseCut++;
        } else if (killed) {
            falseKilled++;
        } else if (left >= books.paidTokens(budget) * ENOUGH_LEFT) {
            falseCalm++;
        } else {
            falseScarce++;
        }
    }

    private long actual(RequestKey key) {
        boolean isLong = Math.floorMod(key.low(), 100L) < LONG_PERCENT;
        long mean = isLong ? 3_000 : 500;
        return mean / 2 + Math.floorMod(key.low() >>> 10, mean);
    }

    private void pay(int index, double hours) {
        int parts = scenario.workspaces().stream().mapToInt(Integer::intValue).sum();
        double perHour =
                scenario.requestsPerSecond()
                        * 3_600
                        * MEAN_TOKENS
                        * scenario.workspaces().get(index)
                        / parts;
        long tokens = Math.round(perHour * hours);
        books.recordPayment(budget(index), tokens);
        operate(
                new LedgerRecord.BudgetToppedUp(
                        budget(index), RequestKey.of(time.nowMillis(), random.nextLong()), tokens));
    }

    private void setCut(boolean isCut) {
        cut = isCut;
        keepers.get(cutZone).forEach(keeper -> keeper.setConnected(!isCut));
    }

    private long openTokens(FakeKeeper keeper) {
        return keeper.world()
                .ledger()
                .grants()
                .rows()
                .filter(row -> row.key().holder().equals(keeper.world().self()))
                .mapToLong(GrantRow::openTokens)
                .sum();
    }

    private void observe(List<SequencedRecord> batch) {
        appends++;
        batch.forEach(record -> bytes += WireEntry.encode(OPERATOR, record).length());
    }

    private void operate(LedgerRecord record) {
        operatorSequence++;
        log.append(OPERATOR, List.of(new SequencedRecord(operatorSequence, record)));
    }

    private int pick(List<Integer> parts) {
        int point = random.nextInt(parts.stream().mapToInt(Integer::intValue).sum());
        int index = 0;
        while (point >= parts.get(index)) {
            point -= parts.get(index);
            index++;
        }
        return index;
    }

    private static BudgetId budget(int index) {
        return BudgetId.of("workspace-" + index);
    }
}

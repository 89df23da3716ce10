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
 * Simulates a scenario with one policy for three hours of virtual time. One zone is cut off from
 * the log during the second hour, in the middle of which the budgets are topped up; half an hour
 * before the end, one keeper is killed.
 */
final class GrantSimulation {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int KEEPERS_PER_ZONE = 2;
    private static final double INITIAL_HOURS_OF_DEMAND = 2.8;
    private static final double TOP_UP_HOURS_OF_DEMAND = 0.4;
    private static final double AMPLE_SHARE = 0.05;
    private static final int LONG_REQUEST_PERCENT = 30;
    private static final double MEAN_REQUEST_TOKENS = 0.3 * 3_000 + 0.7 * 500;
    private static final Incarnation OPERATOR = Incarnation.of("operator");

    private final GrantScenario scenario;
    private final Random random;
    private final VirtualTime time = VirtualTime.startingAt(START_MILLIS);
    private final FakeLog log = FakeLog.of(time);
    private final BudgetOracle budgetOracle = new BudgetOracle();
    private final Map<Zone, List<FakeKeeper>> keepersByZone = new HashMap<>();
    private final Map<RequestKey, Long> worstCaseTokens = new HashMap<>();
    private final Map<RequestKey, BudgetId> budgetByRequest = new HashMap<>();
    private final Set<RequestKey> arrivedDuringPartition = new HashSet<>();
    private final List<Zone> zones = new ArrayList<>();
    private final Zone partitionedZone;
    private boolean partitioned;
    private long operatorSequence;
    private long requestCount;
    private boolean keeperKilled;
    private long falseRefusalsAmple;
    private long falseRefusalsScarce;
    private long falseRefusalsPartitioned;
    private long falseRefusalsAfterKill;
    private long trueRefusals;
    private long maxOverspentTokens;
    private long appendCount;
    private long appendedBytes;

    GrantSimulation(GrantScenario scenario, GrantPolicy policy, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        log.addObserver(this::countAppend);
        scenario.zoneWeights().keySet().forEach(name -> addZone(Zone.of(name), policy));
        this.partitionedZone = zones.get(zones.size() - 1);
    }

    GrantResult run() {
        for (int index = 0; index < scenario.budgetWeights().size(); index++) {
            appendAsOperator(new LedgerRecord.BudgetCreated(budgetId(index), "workspace"));
            topUp(index, INITIAL_HOURS_OF_DEMAND);
        }
        scheduleNextArrival();
        time.advance(HOUR_MILLIS);
        setPartitioned(true);
        time.advance(HOUR_MILLIS / 2);
        for (int index = 0; index < scenario.budgetWeights().size(); index++) {
            topUp(index, TOP_UP_HOURS_OF_DEMAND);
        }
        time.advance(HOUR_MILLIS / 2);
        setPartitioned(false);
        time.advance(HOUR_MILLIS / 2);
        FakeKeeper keeperToKill = keepersByZone.get(zones.get(0)).get(0);
        long strandedTokens = openTokens(keeperToKill);
        keeperToKill.kill();
        keeperKilled = true;
        time.advance(HOUR_MILLIS / 2);
        return new GrantResult(
                requestCount,
                falseRefusalsAmple,
                falseRefusalsScarce,
                falseRefusalsPartitioned,
                falseRefusalsAfterKill,
                trueRefusals,
                maxOverspentTokens,
                strandedTokens,
                appendCount,
                appendedBytes);
    }

    private void addZone(Zone zone, GrantPolicy policy) {
        zones.add(zone);
        List<FakeKeeper> keepers = new ArrayList<>();
        for (int index = 0; index < KEEPERS_PER_ZONE; index++) {
            int keeperIndex = index;
            Incarnation self = Incarnation.of("keeper-" + zone + "-" + index);
            KeeperLimits limits =
                    KeeperLimits.standalone().withSnapshotEveryRecords(Integer.MAX_VALUE / 2);
            keepers.add(
                    new FakeKeeper(
                            time,
                            log,
                            zone,
                            self,
                            policy,
                            limits,
                            output -> handleOutput(zone, keeperIndex, output)));
        }
        keepersByZone.put(zone, keepers);
    }

    private void scheduleNextArrival() {
        double delaySeconds = -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond();
        time.runAfter(Math.round(delaySeconds * 1_000), this::handleArrival);
    }

    private void handleArrival() {
        scheduleNextArrival();
        Zone zone = zones.get(pickWeighted(new ArrayList<>(scenario.zoneWeights().values())));
        sendRequest(zone);
        if (partitioned
                && zone.equals(partitionedZone)
                && random.nextDouble() < scenario.partitionDemandFactor() - 1) {
            sendRequest(zone);
        }
    }

    private void sendRequest(Zone zone) {
        requestCount++;
        BudgetId budget = budgetId(pickWeighted(scenario.budgetWeights()));
        RequestKey key = RequestKey.of(time.nowMillis(), random.nextLong());
        long tokens = 2 * actualTokens(key);
        worstCaseTokens.put(key, tokens);
        budgetByRequest.put(key, budget);
        if (partitioned) {
            arrivedDuringPartition.add(key);
        }
        KeeperInput request =
                new KeeperInput.ReserveAsked(Incarnation.of("router"), key, budget, tokens);
        keeperFor(zone, budget).deliver(request);
    }

    private FakeKeeper keeperFor(Zone zone, BudgetId budget) {
        List<FakeKeeper> alive =
                keepersByZone.get(zone).stream().filter(FakeKeeper::isAlive).toList();
        Collection<Incarnation> incarnations =
                alive.stream().map(keeper -> keeper.world().self()).toList();
        Incarnation preferred = Rendezvous.first(budget.value(), incarnations).orElseThrow();
        return alive.stream()
                .filter(keeper -> keeper.world().self().equals(preferred))
                .findFirst()
                .orElseThrow();
    }

    private void handleOutput(Zone zone, int keeperIndex, KeeperOutput output) {
        if (output instanceof KeeperOutput.ReserveGranted granted) {
            budgetOracle.recordStart(
                    granted.key(), granted.grant(), worstCaseTokens.get(granted.key()));
            BudgetId budget = granted.grant().budget();
            maxOverspentTokens =
                    Math.max(
                            maxOverspentTokens,
                            budgetOracle.committedTokens(budget) - budgetOracle.paidTokens(budget));
            time.runAfter(
                    5_000 + random.nextInt(10_000),
                    () -> settleRequest(zone, keeperIndex, granted));
        } else if (output instanceof KeeperOutput.ReserveRefused refused) {
            countRefusal(refused);
        }
    }

    /**
     * Reports usage to the keeper that reserved the tokens, or to another in its zone if killed.
     */
    private void settleRequest(Zone zone, int keeperIndex, KeeperOutput.ReserveGranted granted) {
        long usedTokens = actualTokens(granted.key());
        budgetOracle.recordUsage(granted.key(), usedTokens);
        FakeKeeper granting = keepersByZone.get(zone).get(keeperIndex);
        FakeKeeper recipient =
                granting.isAlive() ? granting : keeperFor(zone, granted.grant().budget());
        recipient.deliver(
                new KeeperInput.UsageSubmitted(
                        granted.router(), granted.grant(), Usage.of(granted.key(), usedTokens)));
    }

    private void countRefusal(KeeperOutput.ReserveRefused refused) {
        BudgetId budget = budgetByRequest.get(refused.key());
        long remainingTokens =
                budgetOracle.paidTokens(budget) - budgetOracle.committedTokens(budget);
        if (remainingTokens < worstCaseTokens.get(refused.key())) {
            trueRefusals++;
        } else if (arrivedDuringPartition.contains(refused.key())) {
            falseRefusalsPartitioned++;
        } else if (keeperKilled) {
            falseRefusalsAfterKill++;
        } else if (remainingTokens >= budgetOracle.paidTokens(budget) * AMPLE_SHARE) {
            falseRefusalsAmple++;
        } else {
            falseRefusalsScarce++;
        }
    }

    /**
     * Derives the tokens that a request uses from its key: 1,500 to 4,499 for a long request and
     * 250 to 749 for any other. Its worst case is twice that.
     */
    private long actualTokens(RequestKey key) {
        boolean isLong = Math.floorMod(key.low(), 100L) < LONG_REQUEST_PERCENT;
        long meanTokens = isLong ? 3_000 : 500;
        return meanTokens / 2 + Math.floorMod(key.low() >>> 10, meanTokens);
    }

    private void topUp(int index, double hoursOfDemand) {
        int totalWeight = scenario.budgetWeights().stream().mapToInt(Integer::intValue).sum();
        double tokensPerHour =
                scenario.requestsPerSecond()
                        * 3_600
                        * MEAN_REQUEST_TOKENS
                        * scenario.budgetWeights().get(index)
                        / totalWeight;
        long tokens = Math.round(tokensPerHour * hoursOfDemand);
        budgetOracle.recordPayment(budgetId(index), tokens);
        appendAsOperator(
                new LedgerRecord.BudgetToppedUp(
                        budgetId(index),
                        RequestKey.of(time.nowMillis(), random.nextLong()),
                        tokens));
    }

    private void setPartitioned(boolean isPartitioned) {
        partitioned = isPartitioned;
        keepersByZone.get(partitionedZone).forEach(keeper -> keeper.setConnected(!isPartitioned));
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

    /**
     * Counts a batch and its size, encoded with the operator as writer: observers get no writer.
     */
    private void countAppend(List<SequencedRecord> batch) {
        appendCount++;
        batch.forEach(record -> appendedBytes += WireEntry.encode(OPERATOR, record).length());
    }

    private void appendAsOperator(LedgerRecord record) {
        operatorSequence++;
        log.append(OPERATOR, List.of(new SequencedRecord(operatorSequence, record)));
    }

    private int pickWeighted(List<Integer> weights) {
        int point = random.nextInt(weights.stream().mapToInt(Integer::intValue).sum());
        int index = 0;
        while (point >= weights.get(index)) {
            point -= weights.get(index);
            index++;
        }
        return index;
    }

    private static BudgetId budgetId(int index) {
        return BudgetId.of("workspace-" + index);
    }
}

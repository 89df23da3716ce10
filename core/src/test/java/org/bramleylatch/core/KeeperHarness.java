package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Drives a keeper's world in virtual time, with an in-memory log that it reads back from. */
final class KeeperHarness {
    static final Incarnation KEEPER = Incarnation.of("keeper");
    static final Incarnation ROUTER = Incarnation.of("router");
    static final Incarnation OTHER_ROUTER = Incarnation.of("other-router");
    static final BudgetId BUDGET = BudgetId.of("budget");
    static final GrantKey GRANT = GrantKey.of(BUDGET, KEEPER);

    private static final Incarnation OPERATOR = Incarnation.of("operator");
    private static final long START_MILLIS = 1_700_000_000_000L;

    final KeeperWorld world;
    private final Schedule<KeeperWorld> schedule;
    private final List<KeeperOutput> outputs = new ArrayList<>();
    private final List<LogEntry> log = new ArrayList<>();
    private boolean logAnswering = true;
    private long nowMillis = START_MILLIS;
    private long operatorSequence;

    /** Creates a standalone keeper and a budget with the given paid tokens. */
    KeeperHarness(long paidTokens) {
        this(KEEPER, GrantPolicy.byDemand(0, 1), KeeperLimits.standalone());
        appendAsOperator(new LedgerRecord.BudgetCreated(BUDGET, "workspace"));
        appendAsOperator(new LedgerRecord.BudgetToppedUp(BUDGET, key(0), paidTokens));
    }

    /** Creates a keeper with the given policy and limits, and no budget. */
    KeeperHarness(Incarnation keeper, GrantPolicy policy, KeeperLimits limits) {
        world = KeeperWorld.of(keeper);
        schedule = KeeperSystems.schedule(policy, limits, FailureHandler.rethrowing());
    }

    void reserve(Incarnation router, RequestKey key, long tokens) {
        receive(new KeeperInput.ReserveAsked(router, key, BUDGET, tokens));
    }

    void noteAttempt(RequestKey key, String attempt) {
        receive(
                new KeeperInput.AttemptNoted(
                        ROUTER, key, AttemptId.of(attempt), EndpointId.of("endpoint")));
    }

    void reportUsage(RequestKey key, long tokens) {
        receive(new KeeperInput.UsageSubmitted(ROUTER, GRANT, Usage.of(key, tokens)));
    }

    void appendAsOperator(LedgerRecord record) {
        operatorSequence++;
        appendAndDeliver(OPERATOR, List.of(new SequencedRecord(operatorSequence, record)));
    }

    /** Appends a record of a process whose clock is ahead of the keeper's by the given time. */
    void appendFrom(Incarnation writer, LedgerRecord record, long aheadMillis) {
        LogEntry entry = new LogEntry(log.size(), nowMillis + aheadMillis, writer, 1, record);
        log.add(entry);
        receive(new KeeperInput.FromLog(new LogUpdate.EntriesRead(List.of(entry))));
    }

    /** Makes the log drop appends, or accept them again, and tells the keeper. */
    void setLogAnswering(boolean isAnswering) {
        logAnswering = isAnswering;
        receive(new KeeperInput.FromLog(new LogUpdate.ReachabilityReported(isAnswering)));
    }

    /** Makes the log drop appends without telling the keeper. */
    void dropAppends() {
        logAnswering = false;
    }

    void receive(KeeperInput input) {
        world.inbox().add(input);
        tick();
    }

    void advance(long millis) {
        nowMillis += millis;
        tick();
    }

    <T extends KeeperOutput> List<T> outputs(Class<T> type) {
        return outputs.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends KeeperOutput> Optional<T> lastOutput(Class<T> type) {
        return outputs(type).stream().reduce((first, second) -> second);
    }

    BudgetStatement statement() {
        return world.ledger().statement(BUDGET).orElseThrow();
    }

    static RequestKey key(long number) {
        return RequestKey.of(START_MILLIS, number);
    }

    private void tick() {
        do {
            schedule.tick(world, nowMillis);
            List<KeeperOutput> emitted = world.outbox().take(Integer.MAX_VALUE);
            outputs.addAll(emitted);
            emitted.stream()
                    .filter(KeeperOutput.AppendBatch.class::isInstance)
                    .map(KeeperOutput.AppendBatch.class::cast)
                    .filter(batch -> logAnswering)
                    .forEach(batch -> appendAndDeliver(world.self(), batch.records()));
        } while (!world.inbox().isEmpty());
    }

    private void appendAndDeliver(Incarnation writer, List<SequencedRecord> records) {
        List<LogEntry> entries = new ArrayList<>();
        for (SequencedRecord record : records) {
            LogEntry entry =
                    new LogEntry(log.size(), nowMillis, writer, record.sequence(), record.record());
            log.add(entry);
            entries.add(entry);
        }
        world.inbox().add(new KeeperInput.FromLog(new LogUpdate.EntriesRead(entries)));
        if (!writer.equals(world.self())) {
            tick();
        }
    }
}

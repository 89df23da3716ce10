package org.bramleylatch.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Drives a keeper's world in virtual time; the log is a list that the test reads back from. */
final class KeeperCase {
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
    private boolean answering = true;
    private long nowMillis = START_MILLIS;
    private long operatorSequence;

    /** Starts with a budget that the given tokens were paid into. */
    KeeperCase(long paidTokens) {
        this(KEEPER, GrantPolicy.byDemand(0, 1), KeeperLimits.standard());
        operate(new LedgerRecord.BudgetCreated(BUDGET, "workspace"));
        operate(new LedgerRecord.BudgetToppedUp(BUDGET, key(0), paidTokens));
    }

    /** Starts without a budget. */
    KeeperCase(Incarnation keeper, GrantPolicy policy, KeeperLimits limits) {
        world = KeeperWorld.of(keeper);
        schedule = KeeperSystems.schedule(policy, limits);
    }

    void reserve(Incarnation router, RequestKey key, long tokens) {
        put(new KeeperInput.ReserveAsked(router, key, BUDGET, tokens));
    }

    void note(RequestKey key, String attempt) {
        put(
                new KeeperInput.AttemptNoted(
                        ROUTER, key, AttemptId.of(attempt), EndpointId.of("endpoint")));
    }

    void use(RequestKey key, long tokens) {
        put(new KeeperInput.UsageGiven(ROUTER, GRANT, Usage.of(key, tokens)));
    }

    void operate(LedgerRecord record) {
        operatorSequence++;
        append(OPERATOR, List.of(new Numbered(operatorSequence, record)));
    }

    /** Appends another process's record, whose clock is ahead of the keeper's by so much. */
    void appendFrom(Incarnation writer, LedgerRecord record, long aheadMillis) {
        LogEntry entry = new LogEntry(log.size(), nowMillis + aheadMillis, writer, 1, record);
        log.add(entry);
        put(new KeeperInput.FromLog(new LedgerFeed.EntriesRead(List.of(entry))));
    }

    /** Lets the log stop or resume taking and answering appends. */
    void setAnswering(boolean isAnswering) {
        answering = isAnswering;
        put(new KeeperInput.FromLog(new LedgerFeed.LogSeen(isAnswering)));
    }

    void put(KeeperInput input) {
        world.inbox().add(input);
        tick();
    }

    void advance(long millis) {
        nowMillis += millis;
        tick();
    }

    <T extends KeeperOutput> List<T> all(Class<T> type) {
        return outputs.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends KeeperOutput> Optional<T> last(Class<T> type) {
        return all(type).stream().reduce((first, second) -> second);
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
            List<KeeperOutput> fresh = world.outbox().take(Integer.MAX_VALUE);
            outputs.addAll(fresh);
            fresh.stream()
                    .filter(KeeperOutput.AppendBatch.class::isInstance)
                    .map(KeeperOutput.AppendBatch.class::cast)
                    .filter(batch -> answering)
                    .forEach(batch -> append(world.self(), batch.records()));
        } while (!world.inbox().isEmpty());
    }

    private void append(Incarnation writer, List<Numbered> records) {
        List<LogEntry> fresh = new ArrayList<>();
        for (Numbered record : records) {
            LogEntry entry =
                    new LogEntry(log.size(), nowMillis, writer, record.sequence(), record.record());
            log.add(entry);
            fresh.add(entry);
        }
        world.inbox().add(new KeeperInput.FromLog(new LedgerFeed.EntriesRead(fresh)));
        if (!writer.equals(world.self())) {
            tick();
        }
    }
}
